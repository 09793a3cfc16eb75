//! Converts the parsed command line into [`Config`].

use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::ArgMatches;
use eyre::{Result, WrapErr, eyre};
use types::ChangeId;

use crate::config::{
    ApplyArgs, CallArgs, CheckArgs, Command, Config, DocumentPaths, LoadArgs, LogsArgs, MarkArgs,
    MemberAction, ReportArgs, StandinArgs, Target,
};
use crate::output::Format;

impl Config {
    /// Converts the matches of the command line.
    ///
    /// # Errors
    /// Returns an error if a secret or an input cannot be read.
    pub(crate) fn from_matches(matches: &ArgMatches) -> Result<Self> {
        let json = matches.get_one::<String>("output").is_some_and(|it| it == "json");
        let format = if json { Format::Json } else { Format::Human };
        let (name, matches) = matches.subcommand().ok_or_else(|| eyre!("no command is given"))?;
        Ok(Self { format, command: Command::from_matches(name, matches)? })
    }
}

impl Command {
    fn from_matches(name: &str, matches: &ArgMatches) -> Result<Self> {
        Ok(match name {
            "demo" => Command::Demo,
            "control" => Command::Control(required(matches, "settings")?),
            "entry" => Command::Entry(required(matches, "settings")?),
            "gateway" => Command::Gateway,
            "registry" => Command::Registry,
            "init" => Command::Init(Target::from_matches(matches)?),
            "check" => Command::Check(CheckArgs {
                files: optional::<PathBuf>(matches, "base")
                    .map(|base| DocumentPaths { base, overlays: values(matches, "overlays") }),
                nodes: values(matches, "node"),
            }),
            "apply" => Command::Apply(ApplyArgs::from_matches(matches)?),
            "status" => Command::Status(Target::from_matches(matches)?, matches.get_flag("why")),
            "audit" => Command::Audit(Target::from_matches(matches)?, required(matches, "after")?),
            "member" => member_command(matches)?,
            "mark" => Command::Mark(MarkArgs {
                target: Target::from_matches(matches)?,
                upstream: required(matches, "upstream")?,
                leaving: matches.get_flag("leaving"),
                id: change_id(matches),
            }),
            "report" => Command::Report(ReportArgs {
                target: Target::from_matches(matches)?,
                from: required(matches, "from")?,
                to: optional(matches, "to").unwrap_or_else(|| types::UnixMillis::now().0),
                csv: optional(matches, "csv"),
                svg: optional(matches, "svg"),
            }),
            "logs" => Command::Logs(LogsArgs {
                files: values(matches, "files"),
                id: optional(matches, "id"),
                from: optional(matches, "from"),
                to: optional(matches, "to"),
                svg: optional(matches, "svg"),
            }),
            "call" => Command::Call(CallArgs::from_matches(matches)?),
            "standin" => Command::Standin(StandinArgs::from_matches(matches)?),
            "load" => Command::Load(LoadArgs {
                scenario: required(matches, "scenario")?,
                folder: optional(matches, "folder"),
            }),
            other => return Err(eyre!("unknown command {other:?}")),
        })
    }
}

fn member_command(matches: &ArgMatches) -> Result<Command> {
    let (name, matches) = matches.subcommand().ok_or_else(|| eyre!("no action is given"))?;
    let action = match name {
        "add" => MemberAction::Add(required(matches, "vm")?),
        "remove" => MemberAction::Remove(required(matches, "vm")?),
        _ => MemberAction::Transfer(optional(matches, "vm")),
    };
    Ok(Command::Member(Target::from_matches(matches)?, action))
}

impl Target {
    fn from_matches(matches: &ArgMatches) -> Result<Self> {
        Ok(Self {
            control: values(matches, "control"),
            token: read_secret(matches, "token-file", "MOTHPLANK_TOKEN")?,
            timeout: Duration::from_millis(required(matches, "within-ms")?),
        })
    }
}

impl ApplyArgs {
    fn from_matches(matches: &ArgMatches) -> Result<Self> {
        let wait: u64 = required(matches, "wait-ms")?;
        Ok(Self {
            target: Target::from_matches(matches)?,
            files: DocumentPaths {
                base: required(matches, "base")?,
                overlays: values(matches, "overlays"),
            },
            based_on: optional(matches, "based-on"),
            id: change_id(matches),
            wait: matches.get_flag("wait").then(|| Duration::from_millis(wait)),
        })
    }
}

impl CallArgs {
    fn from_matches(matches: &ArgMatches) -> Result<Self> {
        Ok(Self {
            pipeline: required(matches, "pipeline")?,
            entries: values(matches, "entry"),
            key: read_secret(matches, "key-file", "MOTHPLANK_KEY")?,
            input: parse_input(&required::<String>(matches, "input")?)?,
            deadline: optional(matches, "deadline-ms").map(Duration::from_millis),
            idempotency_key: optional(matches, "idempotency-key"),
            max_tokens: optional(matches, "max-tokens"),
            stream: matches.get_flag("stream"),
            retry_for: Duration::from_millis(required(matches, "resend-ms")?),
        })
    }
}

impl StandinArgs {
    fn from_matches(matches: &ArgMatches) -> Result<Self> {
        Ok(Self {
            kind: required(matches, "kind")?,
            listen: required(matches, "listen")?,
            target: optional(matches, "target"),
            side: optional(matches, "side"),
            capacity: optional(matches, "capacity"),
            queue: optional(matches, "queue"),
            time_us: optional(matches, "time-us"),
            first_us: optional(matches, "first-us"),
            token_us: optional(matches, "token-us"),
            loading_ms: optional(matches, "loading-ms"),
            delay_ms: optional(matches, "delay-ms"),
            no_fencing: matches.get_flag("no-fencing"),
            model: optional(matches, "model"),
            vms: values(matches, "vm"),
        })
    }
}

fn optional<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> Option<T> {
    matches.get_one::<T>(name).cloned()
}

fn required<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> Result<T> {
    optional(matches, name).ok_or_else(|| eyre!("{name:?} is missing"))
}

fn values<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> Vec<T> {
    matches.get_many::<T>(name).map(|it| it.cloned().collect()).unwrap_or_default()
}

fn change_id(matches: &ArgMatches) -> ChangeId {
    optional::<uuid::Uuid>(matches, "change-id").map_or_else(ChangeId::random, ChangeId)
}

/// Reads a secret from a file or the environment. The command line never holds a secret, because
/// every user of the VM can read it.
fn read_secret(matches: &ArgMatches, option: &str, variable: &str) -> Result<String> {
    let text = match optional::<PathBuf>(matches, option) {
        Some(path) => read_file(&path)?,
        None => std::env::var(variable)
            .map_err(|_| eyre!("no secret: give --{option} FILE or set {variable}"))?,
    };
    let text = text.trim();
    if text.is_empty() {
        return Err(eyre!("the secret is empty: correct the file of --{option} or {variable}"));
    }
    Ok(text.to_owned())
}

fn parse_input(text: &str) -> Result<serde_json::Value> {
    let text = match text.strip_prefix('@') {
        Some(path) => read_file(Path::new(path))?,
        None => text.to_owned(),
    };
    serde_json::from_str(&text).wrap_err("the input is not JSON; quote a text as '\"text\"'")
}

fn read_file(path: &Path) -> Result<String> {
    fs::read_to_string(path).wrap_err_with(|| format!("cannot read {}", path.display()))
}
