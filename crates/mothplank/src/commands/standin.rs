//! `mothplank standin`: runs a simulated external system.

use eyre::{Result, eyre};
use serde_json::json;
use standins::{FakeConfig, engine, platform, proxy, stage};
use types::{Fencing, Micros, Millis};

use crate::config::StandinArgs;
use crate::exit_codes::ExitCode;
use crate::output::write_line;

/// Runs the stand-in until a signal ends it.
///
/// # Errors
/// Returns an error if the stand-in cannot listen on its address.
pub(crate) async fn run(args: StandinArgs) -> Result<ExitCode> {
    let kind = kind(args)?;
    standins::run(kind, |address| {
        // If the parent process has closed the pipe, nobody needs the address.
        let _ = write_line(&json!({"address": address}).to_string());
    })
    .await?;
    Ok(ExitCode::Success)
}

fn kind(args: StandinArgs) -> Result<FakeConfig> {
    Ok(match args.kind.as_str() {
        "engine" => FakeConfig::Engine(engine(args)),
        "stage" => FakeConfig::Stage(stage(&args)),
        "service" => FakeConfig::Service(stage(&args)),
        "platform" => FakeConfig::Platform(platform::Config { listen: args.listen, vms: args.vms }),
        _ => {
            let target = args.target.ok_or_else(|| eyre!("a proxy needs --target"))?;
            let mut config = proxy::Config::to(target);
            config.listen = args.listen;
            config.side = args.side.unwrap_or(config.side);
            config.delay = args.delay_ms.map_or(config.delay, Millis);
            FakeConfig::Proxy(config)
        }
    })
}

fn engine(args: StandinArgs) -> engine::Config {
    let config = engine::Config::default();
    engine::Config {
        listen: args.listen,
        capacity: args.capacity.map_or(config.capacity, |it| it as usize),
        queue: args.queue.map_or(config.queue, |it| it as usize),
        first: args.first_us.map_or(config.first, Micros),
        token: args.token_us.map_or(config.token, Micros),
        loading: args.loading_ms.map_or(config.loading, Millis),
        fencing: if args.no_fencing { Fencing::Ignores } else { Fencing::Checks },
        model: args.model,
        ..config
    }
}

fn stage(args: &StandinArgs) -> stage::Config {
    let config = stage::Config::default();
    stage::Config {
        listen: args.listen,
        capacity: args.capacity.map_or(config.capacity, |it| it as usize),
        queue: args.queue.map_or(config.queue, |it| it as usize),
        time: args.time_us.map_or(config.time, |it| stage::ServiceTime::Fixed(Micros(it))),
        ..config
    }
}
