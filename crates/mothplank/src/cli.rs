//! The whole command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::builder::ValueParser;
use clap::{Arg, ArgAction, ArgGroup, Command, value_parser};
use platform::names::SETTINGS_VARIABLE;

use crate::exit_codes;

const ABOUT: &str = "Serves multi-stage model pipelines.";

const EXAMPLES: &str = "\
Examples:
  mothplank demo                                   see the whole path in one process
  mothplank control --settings node.jsonc          run a control member
  mothplank entry --settings node.jsonc            run an entry
  mothplank check base.jsonc --overlays sites/     find every fault of the service's files
  mothplank apply base.jsonc --overlays sites/ --wait
  mothplank status --why

Environment:
  MOTHPLANK_CONTROL  control members' addresses, as in --control
  MOTHPLANK_TOKEN    the operator's token, where --token-file is not given
  MOTHPLANK_ENTRY    entries' addresses, as in --entry
  MOTHPLANK_KEY      the customer's key, where --key-file is not given";

/// Builds the command line.
pub(crate) fn build() -> Command {
    let operators = [init(), check(), apply(), status(), audit(), member(), mark(), report()];
    Command::new("mothplank")
        .version(clap::crate_version!())
        .about(ABOUT)
        .after_help(format!("{EXAMPLES}\n\n{}", exit_codes::TABLE))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(output())
        .subcommands([demo(), control(), entry(), gateway(), registry()])
        .subcommands(operators)
        .subcommands([logs(), call(), standin(), load()])
}

fn output() -> Arg {
    Arg::new("output")
        .long("output")
        .global(true)
        .value_name("FORM")
        .value_parser(["human", "json"])
        .default_value("human")
        .help("Print text for people, or JSON for programs")
}

fn demo() -> Command {
    Command::new("demo").about("Run the whole path on loopback in one process and show a request")
}

fn control() -> Command {
    Command::new("control")
        .about("Run a control member: replicated state, orders, load digest")
        .arg(settings())
        .after_help("SIGTERM hands leadership over and ends the process.")
}

fn entry() -> Command {
    Command::new("entry")
        .about("Run an entry: takes callers' requests and drives the stages")
        .arg(settings())
        .after_help(
            "SIGTERM drains: not ready first, then no new requests, those in flight end whole. \
             A second signal does not cut them.",
        )
}

fn gateway() -> Command {
    Command::new("gateway")
        .about("Run the entry of a platform: passes requests through to upstreams")
        .after_help(format!(
            "Reads the settings file that the platform names in {SETTINGS_VARIABLE}. SIGTERM \
             drains, SIGHUP reads the settings again."
        ))
}

fn registry() -> Command {
    Command::new("registry")
        .about("Run a member of a platform's registry: the plan in force, upstreams, entries")
        .after_help(format!(
            "Reads the settings file that the platform names in {SETTINGS_VARIABLE}. SIGTERM \
             hands leadership over and ends the process, SIGHUP reads the settings again."
        ))
}

fn settings() -> Arg {
    file("settings", "The node's settings file").required(true)
}

fn init() -> Command {
    Command::new("init")
        .about("Start a new cluster, once")
        .args(operator_args())
        .after_help("A lost disk never starts a cluster by itself; this command alone does.")
}

fn check() -> Command {
    Command::new("check")
        .about("Name every fault of the service's files, and of nodes' files, offline")
        .args(document_args())
        .arg(
            file("node", "A node's settings file to check; repeat for more")
                .action(ArgAction::Append),
        )
        .group(ArgGroup::new("what").args(["base", "node"]).multiple(true).required(true))
        .mut_arg("base", |it| it.required(false))
        .after_help("Exits with 3 if there is any fault. Warnings do not count.")
}

fn apply() -> Command {
    Command::new("apply")
        .about("Bring the service's files into force")
        .args(document_args())
        .args(operator_args())
        .arg(
            option("based-on", "VERSION", "The version this change is based on; else the one now in force")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            option("change-id", "UUID", "The change's id; give the same to resend a change whose answer was lost")
                .value_parser(value_parser!(uuid::Uuid)),
        )
        .arg(flag("wait", "Return once it is in force everywhere, or say where it is not"))
        .arg(
            option("wait-ms", "MS", "How long to wait")
                .default_value("30000")
                .value_parser(value_parser!(u64)),
        )
        .after_help(
            "Prints the change's id before it sends. If the answer is lost, resend with \
             --change-id and --based-on: the first answer comes again, the change is never made twice.",
        )
}

fn status() -> Command {
    Command::new("status")
        .about("Show members, entries, upstreams and where the version is in force")
        .args(operator_args())
        .arg(flag("why", "Show only what is not as it should be, and why"))
}

fn audit() -> Command {
    Command::new("audit")
        .about("Print the audit trail and verify its chain of hashes")
        .args(operator_args())
        .arg(
            option("after", "NUMBER", "Print only the records after this one")
                .default_value("0")
                .value_parser(value_parser!(u64)),
        )
}

fn member() -> Command {
    let vm = || Arg::new("vm").value_name("VM").value_parser(value_parser!(types::VmName));
    let sub = |name: &'static str, about: &'static str| Command::new(name).about(about);
    Command::new("member")
        .about("Change who takes part in the replicated state")
        .subcommand_required(true)
        .subcommands([
            sub("add", "Make a VM a voter once it is caught up")
                .arg(vm().required(true))
                .args(operator_args()),
            sub("remove", "Remove a VM").arg(vm().required(true)).args(operator_args()),
            sub("transfer", "Hand leadership to a VM, or to any").arg(vm()).args(operator_args()),
        ])
}

fn mark() -> Command {
    Command::new("mark")
        .about("Mark an upstream as leaving, or take the mark back")
        .arg(
            Arg::new("upstream")
                .value_name("UPSTREAM")
                .value_parser(value_parser!(types::UpstreamName))
                .required(true),
        )
        .arg(flag("leaving", "It gets no new work").conflicts_with("back"))
        .arg(flag("back", "It gets work again"))
        .group(ArgGroup::new("which").args(["leaving", "back"]).required(true))
        .arg(
            option("change-id", "UUID", "The mark's id, to resend one whose answer was lost")
                .value_parser(value_parser!(uuid::Uuid)),
        )
        .args(operator_args())
}

fn report() -> Command {
    Command::new("report")
        .about("Show use and cost by customer, stage and pool")
        .args(operator_args())
        .arg(
            option("from", "MS", "Start of the span, in ms since the Unix epoch")
                .default_value("0")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            option("to", "MS", "End of the span, in ms since the Unix epoch; else now")
                .value_parser(value_parser!(u64)),
        )
        .arg(file("csv", "Also write the rows as CSV"))
        .arg(file("svg", "Also draw the cost by stage as SVG"))
}

fn logs() -> Command {
    let time = |name, help| option(name, "TIME", help).value_parser(value_parser!(jiff::Timestamp));
    Command::new("logs")
        .about("Read logs of a platform's entries: what became of requests, and why")
        .arg(
            Arg::new("files")
                .value_name("FILE")
                .help("Log files of entries; what stands before the JSON of a line is passed over")
                .required(true)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(option("id", "ID", "Print the story of this request instead"))
        .arg(time("from", "Start of the span, as in the logs"))
        .arg(time("to", "End of the span"))
        .arg(file("svg", "Also draw the seconds of the span as SVG"))
}

fn call() -> Command {
    Command::new("call")
        .about("Send one request, and again until it is answered")
        .arg(
            Arg::new("pipeline")
                .value_name("PIPELINE")
                .value_parser(value_parser!(types::PipelineName))
                .required(true),
        )
        .arg(addresses("entry", "MOTHPLANK_ENTRY", "Entries; tried in turn"))
        .arg(file("key-file", "A file that holds the customer's key"))
        .arg(option("input", "JSON", "The input; @FILE reads a file").default_value("null"))
        .arg(
            option("deadline-ms", "MS", "The deadline; else the pipeline's")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            option(
                "idempotency-key",
                "KEY",
                "Makes the request run at most once, however often it is sent",
            )
            .value_parser(value_parser!(types::IdempotencyKey)),
        )
        .arg(
            option("max-tokens", "N", "The most tokens to generate")
                .value_parser(value_parser!(u64)),
        )
        .arg(flag("stream", "Print tokens as they come"))
        .arg(
            option("resend-ms", "MS", "How long to go on resending; 0 sends once")
                .default_value("30000")
                .value_parser(value_parser!(u64)),
        )
        .after_help(
            "Without an idempotency key it resends only what did not run, and lost answers of \
             repeatable requests. With one it resends until the outcome is known.",
        )
}

fn standin() -> Command {
    Command::new("standin")
        .about("Run a small fake of an outside system, for trials and tests")
        .arg(
            Arg::new("kind")
                .value_name("KIND")
                .value_parser(["engine", "stage", "service", "platform", "proxy"])
                .required(true),
        )
        .arg(
            option("listen", "IP:PORT", "Where it listens; port 0 takes a free one")
                .default_value("127.0.0.1:0")
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(
            option("target", "IP:PORT", "Where a proxy forwards to")
                .value_parser(value_parser!(SocketAddr))
                .required_if_eq("kind", "proxy"),
        )
        .arg(number("capacity", "Calls at once"))
        .arg(number("queue", "Calls that wait before further ones get a 429"))
        .arg(number("time-us", "How long a call runs (stage, service), in microseconds"))
        .arg(number("first-us", "Time to the first token (engine), in microseconds"))
        .arg(number("token-us", "Time between tokens (engine), in microseconds"))
        .arg(number("loading-ms", "How long an order takes to come into force (engine), in ms"))
        .arg(
            option("side", "IP:PORT", "Where a proxy takes commands")
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(number("delay-ms", "How long each chunk is held back (proxy), in ms"))
        .arg(flag("no-fencing", "Do not check fencing numbers (engine)"))
        .arg(
            option("model", "MODEL", "The model loaded at the start (engine)")
                .value_parser(value_parser!(types::ModelName)),
        )
        .arg(
            option("vm", "VM", "A live VM of the list (platform); repeat for more")
                .value_parser(value_parser!(types::VmName))
                .action(ArgAction::Append),
        )
        .after_help("Prints {\"address\": IP:PORT} once it listens. SIGTERM ends it.")
}

fn load() -> Command {
    Command::new("load")
        .about("Run a scenario of many requests and show what each class got, for trials")
        .arg(
            Arg::new("scenario")
                .value_name("SCENARIO")
                .value_parser(ValueParser::path_buf())
                .required(true)
                .help("The scenario file: entries, classes of requests, rates, bursts"),
        )
        .arg(file("folder", "Write classes and requests as CSV and a drawing as SVG there"))
}

fn document_args() -> [Arg; 2] {
    let path = ValueParser::path_buf();
    [
        Arg::new("base")
            .value_name("BASE")
            .value_parser(path.clone())
            .required(true)
            .help("The base file"),
        Arg::new("overlays")
            .long("overlays")
            .value_name("PATH")
            .value_parser(path)
            .action(ArgAction::Append)
            .help("A folder of overlays, or one overlay; a file's name is its site"),
    ]
}

fn operator_args() -> [Arg; 3] {
    let args = [
        addresses("control", "MOTHPLANK_CONTROL", "Control members; any one will do"),
        file("token-file", "A file that holds the operator's token"),
        option("within-ms", "MS", "How long to try")
            .default_value("10000")
            .value_parser(value_parser!(u64)),
    ];
    args.map(|it| it.help_heading("Where to send"))
}

fn addresses(name: &'static str, variable: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("IP:PORT")
        .env(variable)
        .value_delimiter(',')
        .action(ArgAction::Append)
        .value_parser(value_parser!(SocketAddr))
        .required(true)
        .help(help)
}

fn file(name: &'static str, help: &'static str) -> Arg {
    option(name, "FILE", help).value_parser(value_parser!(PathBuf))
}

fn number(name: &'static str, help: &'static str) -> Arg {
    option(name, "N", help).value_parser(value_parser!(u64))
}

fn option(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).help(help)
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).action(ArgAction::SetTrue).help(help)
}
