//! From the matches of the command line to plain values.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::ArgMatches;
use eyre::{Result, WrapErr, eyre};
use types::ChangeId;

use crate::config::{
    Apply, Call, Check, Command, Config, Files, Load, Logs, Mark, MemberAction, Report, Standin,
    Target,
};
use crate::output::Format;

impl Config {
    /// Takes the command line apart.
    ///
    /// # Errors
    /// Where a secret or an input cannot be read.
    pub(crate) fn from_matches(matches: &ArgMatches) -> Result<Self> {
        let json = matches.get_one::<String>("output").is_some_and(|it| it == "json");
        let format = if json { Format::Json } else { Format::Human };
        let (name, of) = matches.subcommand().ok_or_else(|| eyre!("no command is given"))?;
        Ok(Self { format, command: Command::from_matches(name, of)? })
    }
}

impl Command {
    fn from_matches(name: &str, of: &ArgMatches) -> Result<Self> {
        Ok(match name {
            "demo" => Command::Demo,
            "control" => Command::Control(needed(of, "settings")?),
            "entry" => Command::Entry(needed(of, "settings")?),
            "gateway" => Command::Gateway,
            "registry" => Command::Registry,
            "init" => Command::Init(Target::from_matches(of)?),
            "check" => Command::Check(Check {
                files: one::<PathBuf>(of, "base")
                    .map(|base| Files { base, overlays: all(of, "overlays") }),
                nodes: all(of, "node"),
            }),
            "apply" => Command::Apply(Apply::from_matches(of)?),
            "status" => Command::Status(Target::from_matches(of)?, of.get_flag("why")),
            "audit" => Command::Audit(Target::from_matches(of)?, needed(of, "after")?),
            "member" => member(of)?,
            "mark" => Command::Mark(Mark {
                target: Target::from_matches(of)?,
                upstream: needed(of, "upstream")?,
                leaving: of.get_flag("leaving"),
                id: change_id(of),
            }),
            "report" => Command::Report(Report {
                target: Target::from_matches(of)?,
                from: needed(of, "from")?,
                to: one(of, "to").unwrap_or_else(|| types::UnixMillis::now().0),
                csv: one(of, "csv"),
                svg: one(of, "svg"),
            }),
            "logs" => Command::Logs(Logs {
                files: all(of, "files"),
                id: one(of, "id"),
                from: one(of, "from"),
                to: one(of, "to"),
                svg: one(of, "svg"),
            }),
            "call" => Command::Call(Call::from_matches(of)?),
            "standin" => Command::Standin(Standin::from_matches(of)?),
            "load" => {
                Command::Load(Load { scenario: needed(of, "scenario")?, folder: one(of, "folder") })
            }
            other => return Err(eyre!("unknown command {other:?}")),
        })
    }
}

fn member(of: &ArgMatches) -> Result<Command> {
    let (name, of) = of.subcommand().ok_or_else(|| eyre!("no action is given"))?;
    let action = match name {
        "add" => MemberAction::Add(needed(of, "vm")?),
        "remove" => MemberAction::Remove(needed(of, "vm")?),
        _ => MemberAction::Transfer(one(of, "vm")),
    };
    Ok(Command::Member(Target::from_matches(of)?, action))
}

impl Target {
    fn from_matches(of: &ArgMatches) -> Result<Self> {
        Ok(Self {
            control: all(of, "control"),
            token: secret(of, "token-file", "MOTHPLANK_TOKEN")?,
            within: Duration::from_millis(needed(of, "within-ms")?),
        })
    }
}

impl Apply {
    fn from_matches(of: &ArgMatches) -> Result<Self> {
        let wait: u64 = needed(of, "wait-ms")?;
        Ok(Self {
            target: Target::from_matches(of)?,
            files: Files { base: needed(of, "base")?, overlays: all(of, "overlays") },
            based_on: one(of, "based-on"),
            id: change_id(of),
            wait: of.get_flag("wait").then(|| Duration::from_millis(wait)),
        })
    }
}

impl Call {
    fn from_matches(of: &ArgMatches) -> Result<Self> {
        Ok(Self {
            pipeline: needed(of, "pipeline")?,
            entries: all(of, "entry"),
            key: secret(of, "key-file", "MOTHPLANK_KEY")?,
            input: input(&needed::<String>(of, "input")?)?,
            deadline: one(of, "deadline-ms").map(Duration::from_millis),
            idempotency: one(of, "idempotency-key"),
            max_tokens: one(of, "max-tokens"),
            stream: of.get_flag("stream"),
            resend: Duration::from_millis(needed(of, "resend-ms")?),
        })
    }
}

impl Standin {
    fn from_matches(of: &ArgMatches) -> Result<Self> {
        Ok(Self {
            kind: needed(of, "kind")?,
            listen: needed(of, "listen")?,
            target: one(of, "target"),
            side: one(of, "side"),
            capacity: one(of, "capacity"),
            queue: one(of, "queue"),
            time: one(of, "time-us"),
            first: one(of, "first-us"),
            token: one(of, "token-us"),
            loading: one(of, "loading-ms"),
            delay: one(of, "delay-ms"),
            no_fencing: of.get_flag("no-fencing"),
            model: one(of, "model"),
            vms: all(of, "vm"),
        })
    }
}

fn one<T: Clone + Send + Sync + 'static>(of: &ArgMatches, name: &str) -> Option<T> {
    of.get_one::<T>(name).cloned()
}

fn needed<T: Clone + Send + Sync + 'static>(of: &ArgMatches, name: &str) -> Result<T> {
    one(of, name).ok_or_else(|| eyre!("{name:?} is missing"))
}

fn all<T: Clone + Send + Sync + 'static>(of: &ArgMatches, name: &str) -> Vec<T> {
    of.get_many::<T>(name).map(|it| it.cloned().collect()).unwrap_or_default()
}

fn change_id(of: &ArgMatches) -> ChangeId {
    one::<uuid::Uuid>(of, "change-id").map_or_else(ChangeId::random, ChangeId)
}

/// Reads a secret from a file or the environment. It is never taken from the command line, which
/// every user of the VM can read.
fn secret(of: &ArgMatches, option: &str, variable: &str) -> Result<String> {
    let text = match one::<PathBuf>(of, option) {
        Some(path) => read(&path)?,
        None => std::env::var(variable)
            .map_err(|_| eyre!("no secret: give --{option} FILE or set {variable}"))?,
    };
    let text = text.trim();
    if text.is_empty() {
        return Err(eyre!("the secret is empty: correct the file of --{option} or {variable}"));
    }
    Ok(text.to_owned())
}

fn input(text: &str) -> Result<serde_json::Value> {
    let text = match text.strip_prefix('@') {
        Some(path) => read(Path::new(path))?,
        None => text.to_owned(),
    };
    serde_json::from_str(&text).wrap_err("the input is not JSON; quote a text as '\"text\"'")
}

fn read(path: &Path) -> Result<String> {
    fs::read_to_string(path).wrap_err_with(|| format!("cannot read {}", path.display()))
}
