//! `mothplank standin`: runs a fake of an outside system.

use eyre::{Result, eyre};
use serde_json::json;
use standins::{FakeConfig, engine, platform, proxy, stage};
use types::{Fencing, Micros, Millis};

use crate::config::Standin;
use crate::exit_codes::ExitCode;
use crate::output::write_line;

/// Runs the command until a signal ends it.
///
/// # Errors
/// Where the address cannot be listened on.
pub(crate) async fn run(standin: Standin) -> Result<ExitCode> {
    let kind = kind(standin)?;
    standins::run(kind, |address| {
        // A starter that has gone away does not need the address.
        let _ = write_line(&json!({"address": address}).to_string());
    })
    .await?;
    Ok(ExitCode::Success)
}

fn kind(standin: Standin) -> Result<FakeConfig> {
    Ok(match standin.kind.as_str() {
        "engine" => FakeConfig::Engine(engine(standin)),
        "stage" => FakeConfig::Stage(stage(&standin)),
        "service" => FakeConfig::Service(stage(&standin)),
        "platform" => {
            FakeConfig::Platform(platform::Config { listen: standin.listen, vms: standin.vms })
        }
        _ => {
            let target = standin.target.ok_or_else(|| eyre!("a proxy needs --target"))?;
            let mut config = proxy::Config::to(target);
            config.listen = standin.listen;
            config.side = standin.side.unwrap_or(config.side);
            config.delay = standin.delay.map_or(config.delay, Millis);
            FakeConfig::Proxy(config)
        }
    })
}

fn engine(standin: Standin) -> engine::Config {
    let config = engine::Config::default();
    engine::Config {
        listen: standin.listen,
        capacity: standin.capacity.map_or(config.capacity, |it| it as usize),
        queue: standin.queue.map_or(config.queue, |it| it as usize),
        first: standin.first.map_or(config.first, Micros),
        token: standin.token.map_or(config.token, Micros),
        loading: standin.loading.map_or(config.loading, Millis),
        fencing: if standin.no_fencing { Fencing::Ignores } else { Fencing::Checks },
        model: standin.model,
        ..config
    }
}

fn stage(standin: &Standin) -> stage::Config {
    let config = stage::Config::default();
    stage::Config {
        listen: standin.listen,
        capacity: standin.capacity.map_or(config.capacity, |it| it as usize),
        queue: standin.queue.map_or(config.queue, |it| it as usize),
        time: standin.time.map_or(config.time, |it| stage::ServiceTime::Fixed(Micros(it))),
        ..config
    }
}
