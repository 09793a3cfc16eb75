//! Defines the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::builder::ValueParser;
use clap::{Arg, ArgAction, ArgGroup, Command, value_parser};
use platform::names::SETTINGS_VARIABLE;

use crate::exit_codes;

const ABOUT: &str = "Serves multi-stage model pipelines.";

const EXAMPLES: &str = "\
Examples:
  mothplank demo                                   run a complete system in one process
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
        .help("Print text for humans, or JSON for programs")
}

fn demo() -> Command {
    Command::new("demo")
        .about("Run a complete system on loopback in one process and send one request through it")
}

fn control() -> Command {
    Command::new("control")
        .about("Run a control member: replicated state, orders, load digest")
        .arg(settings())
        .after_help("On SIGTERM it hands leadership over and exits.")
}

fn entry() -> Command {
    Command::new("entry")
        .about("Run an entry: accepts callers' requests and runs the stages of their pipelines")
        .arg(settings())
        .after_help(
            "On SIGTERM it drains: it first reports that it is not ready, then refuses new \
             requests, and exits when the requests in flight are complete. A second signal does \
             not interrupt them.",
        )
}

fn gateway() -> Command {
    Command::new("gateway")
        .about("Run the entry of a platform: forwards requests to upstreams")
        .after_help(format!(
            "Reads the settings file that {SETTINGS_VARIABLE} names. SIGTERM drains, SIGHUP \
             reloads the settings."
        ))
}

fn registry() -> Command {
    Command::new("registry")
        .about("Run a member of a platform's registry: the plan in force, upstreams, entries")
        .after_help(format!(
            "Reads the settings file that {SETTINGS_VARIABLE} names. On SIGTERM it hands \
             leadership over and exits; SIGHUP reloads the settings."
        ))
}

fn settings() -> Arg {
    file("settings", "The node's settings file").required(true)
}

fn init() -> Command {
    Command::new("init")
        .about("Create a new cluster; run it only once")
        .args(operator_args())
        .after_help(
            "Only this command creates a cluster. A member that has lost its disk never creates \
             one by itself.",
        )
}

fn check() -> Command {
    Command::new("check")
        .about("Check the service's files and nodes' settings files, offline")
        .args(document_args())
        .arg(
            file("node", "A node's settings file to check; repeat for more")
                .action(ArgAction::Append),
        )
        .group(ArgGroup::new("what").args(["base", "node"]).multiple(true).required(true))
        .mut_arg("base", |it| it.required(false))
        .after_help("Exits with 3 if there is any fault. Warnings do not change the exit code.")
}

fn apply() -> Command {
    Command::new("apply")
        .about("Put the service's files into force")
        .args(document_args())
        .args(operator_args())
        .arg(
            option(
                "based-on",
                "VERSION",
                "The version that this change is based on; by default the version in force",
            )
            .value_parser(value_parser!(u64)),
        )
        .arg(
            option(
                "change-id",
                "UUID",
                "The id of the change, to resend one whose answer was lost; by default a random one",
            )
            .value_parser(value_parser!(uuid::Uuid)),
        )
        .arg(flag("wait", "Wait until it is in force everywhere, and print where it is not"))
        .arg(
            option("wait-ms", "MS", "How long to wait")
                .default_value("30000")
                .value_parser(value_parser!(u64)),
        )
        .after_help(
            "Prints the id of the change before sending it. If the answer is lost, resend with \
             --change-id and --based-on: the change is made at most once, and the first answer is \
             returned again.",
        )
}

fn status() -> Command {
    Command::new("status")
        .about("Show members, entries, upstreams and which version each entry serves")
        .args(operator_args())
        .arg(flag("why", "Show only the problems and their reasons"))
}

fn audit() -> Command {
    Command::new("audit")
        .about("Print the audit trail and verify its hash chain")
        .args(operator_args())
        .arg(
            option("after", "NUMBER", "Print only the records after this number")
                .default_value("0")
                .value_parser(value_parser!(u64)),
        )
}

fn member() -> Command {
    let vm = || Arg::new("vm").value_name("VM").value_parser(value_parser!(types::VmName));
    let sub = |name: &'static str, about: &'static str| Command::new(name).about(about);
    Command::new("member")
        .about("Change the members of the cluster")
        .subcommand_required(true)
        .subcommands([
            sub("add", "Make a VM a voter once it has caught up")
                .arg(vm().required(true))
                .args(operator_args()),
            sub("remove", "Remove a VM").arg(vm().required(true)).args(operator_args()),
            sub("transfer", "Hand leadership over to a VM, or to any member")
                .arg(vm())
                .args(operator_args()),
        ])
}

fn mark() -> Command {
    Command::new("mark")
        .about("Mark an upstream as leaving, or remove the mark")
        .arg(
            Arg::new("upstream")
                .value_name("UPSTREAM")
                .value_parser(value_parser!(types::UpstreamName))
                .required(true),
        )
        .arg(flag("leaving", "Send it no new calls").conflicts_with("back"))
        .arg(flag("back", "Send it calls again"))
        .group(ArgGroup::new("which").args(["leaving", "back"]).required(true))
        .arg(
            option(
                "change-id",
                "UUID",
                "The id of the mark, to resend one whose answer was lost; by default a random one",
            )
            .value_parser(value_parser!(uuid::Uuid)),
        )
        .args(operator_args())
}

fn report() -> Command {
    Command::new("report")
        .about("Show usage and cost by customer, stage and pool")
        .args(operator_args())
        .arg(
            option("from", "MS", "Start of the time range, in ms since the Unix epoch")
                .default_value("0")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            option("to", "MS", "End of the time range, in ms since the Unix epoch; by default now")
                .value_parser(value_parser!(u64)),
        )
        .arg(file("csv", "Also write the rows as CSV"))
        .arg(file("svg", "Also draw the cost by stage as SVG"))
}

fn logs() -> Command {
    let time = |name, help| option(name, "TIME", help).value_parser(value_parser!(jiff::Timestamp));
    Command::new("logs")
        .about("Summarize the logs of a platform's entries: outcomes of requests and their reasons")
        .arg(
            Arg::new("files")
                .value_name("FILE")
                .help("Log files of entries; text before the JSON of a line is skipped")
                .required(true)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(option("id", "ID", "Print the log lines of this request instead"))
        .arg(time("from", "Start of the time range, in the format of the logs"))
        .arg(time("to", "End of the time range"))
        .arg(file("svg", "Also write a chart of the outcomes by second as SVG"))
}

fn call() -> Command {
    Command::new("call")
        .about("Send one request, and resend it until it is answered")
        .arg(
            Arg::new("pipeline")
                .value_name("PIPELINE")
                .value_parser(value_parser!(types::PipelineName))
                .required(true),
        )
        .arg(addresses("entry", "MOTHPLANK_ENTRY", "Addresses of entries, tried in turn"))
        .arg(file("key-file", "A file that holds the customer's key"))
        .arg(option("input", "JSON", "The input; @FILE reads a file").default_value("null"))
        .arg(
            option("deadline-ms", "MS", "The deadline; by default that of the pipeline")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            option(
                "idempotency-key",
                "KEY",
                "Run the request at most once, however often it is sent",
            )
            .value_parser(value_parser!(types::IdempotencyKey)),
        )
        .arg(
            option("max-tokens", "N", "The maximum number of tokens to generate")
                .value_parser(value_parser!(u64)),
        )
        .arg(flag("stream", "Print tokens as they arrive"))
        .arg(
            option("resend-ms", "MS", "How long to keep resending; 0 sends once")
                .default_value("30000")
                .value_parser(value_parser!(u64)),
        )
        .after_help(
            "Without an idempotency key it resends only requests that did not run, and repeatable \
             requests whose answer was lost. With a key it resends until the outcome is known.",
        )
}

fn standin() -> Command {
    Command::new("standin")
        .about("Run a simulated external system, for trials and tests")
        .arg(
            Arg::new("kind")
                .value_name("KIND")
                .value_parser(["engine", "stage", "service", "platform", "proxy"])
                .required(true),
        )
        .arg(
            option("listen", "IP:PORT", "The address to listen on; port 0 picks a free port")
                .default_value("127.0.0.1:0")
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(
            option("target", "IP:PORT", "The address that a proxy forwards to")
                .value_parser(value_parser!(SocketAddr))
                .required_if_eq("kind", "proxy"),
        )
        .arg(number("capacity", "The maximum number of concurrent calls"))
        .arg(number("queue", "The maximum number of waiting calls; further calls get a 429"))
        .arg(number("time-us", "Duration of a call (stage, service), in microseconds"))
        .arg(number("first-us", "Time to the first token (engine), in microseconds"))
        .arg(number("token-us", "Time between tokens (engine), in microseconds"))
        .arg(number("loading-ms", "Time until an order takes effect (engine), in ms"))
        .arg(
            option("side", "IP:PORT", "The address where a proxy accepts commands")
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(number("delay-ms", "Delay of each chunk (proxy), in ms"))
        .arg(flag("no-fencing", "Do not check fencing numbers (engine)"))
        .arg(
            option("model", "MODEL", "The model that is loaded at startup (engine)")
                .value_parser(value_parser!(types::ModelName)),
        )
        .arg(
            option("vm", "VM", "A VM in the list of live VMs (platform); repeat for more")
                .value_parser(value_parser!(types::VmName))
                .action(ArgAction::Append),
        )
        .after_help("Prints {\"address\": IP:PORT} once it listens. SIGTERM ends it.")
}

fn load() -> Command {
    Command::new("load")
        .about("Run a load test from a scenario file and show the results by class of requests")
        .arg(
            Arg::new("scenario")
                .value_name("SCENARIO")
                .value_parser(ValueParser::path_buf())
                .required(true)
                .help("The scenario file: entries, classes of requests, rates, bursts"),
        )
        .arg(file("folder", "A folder for the classes and requests as CSV and a chart as SVG"))
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
            .help("A folder of overlays, or one overlay; the file name is the site"),
    ]
}

fn operator_args() -> [Arg; 3] {
    let args = [
        addresses("control", "MOTHPLANK_CONTROL", "Addresses of control members; one is enough"),
        file("token-file", "A file that holds the operator's token"),
        option("within-ms", "MS", "How long to keep trying")
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
