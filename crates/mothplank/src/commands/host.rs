//! Runs the programs of a platform (gateway and registry): runtime, logs, signals, reload of
//! settings, metrics.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eyre::{Result, WrapErr};
use http_body_util::Full;
use hyper::Response;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use platform::Settings;
use telemetry::ByteCounters;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{MissedTickBehavior, interval};
use types::VmName;

use crate::commands::RELEASE;
use crate::exit_codes::ExitCode;

/// The interval of checks whether the settings file has changed; it may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Runs a program on one thread until SIGTERM. `start` starts it, `reload` gives it changed
/// settings, and `stop` stops it.
///
/// # Errors
/// Returns an error if the program cannot start.
pub(crate) fn run<T, O, E>(
    vm: &VmName,
    path: PathBuf,
    start: impl Future<Output = Result<Arc<T>>>,
    reload: impl Fn(&T, Settings) + 'static,
    stop: E,
) -> Result<ExitCode>
where
    T: 'static,
    O: Future<Output = ()>,
    E: FnOnce(Arc<T>) -> O,
{
    telemetry::init_stdout_log("info");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("cannot start the runtime")?;
    runtime.block_on(async {
        log::info!(vm:% = vm, release = RELEASE; "starting");
        let mut term = signal(SignalKind::terminate())?;
        let mut hangup = signal(SignalKind::hangup())?;
        let program = start.await?;
        log::info!(vm:% = vm; "started");
        let mut ticks = interval(SETTINGS_POLL_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut seen = modified(&path);
        loop {
            tokio::select! {
                _ = term.recv() => break,
                _ = hangup.recv() => {}
                _ = ticks.tick() => {
                    let now = modified(&path);
                    if now == seen {
                        continue;
                    }
                    seen = now;
                }
            }
            match Settings::read(&path) {
                Ok(settings) => {
                    log::info!(seeds = settings.seeds.len(); "reloaded the settings");
                    reload(&program, settings);
                }
                Err(error) => log::warn!(cause:% = error;
                    "cannot read the changed settings; the previous settings stay in effect"),
            }
        }
        log::info!(vm:% = vm; "stopping");
        stop(program).await;
        log::info!(vm:% = vm; "stopped");
        Ok(ExitCode::Success)
    })
}

fn modified(path: &Path) -> Option<std::time::SystemTime> {
    std::fs::metadata(path).and_then(|it| it.modified()).ok()
}

/// Serves metrics at every path. The program can work without metrics, so a failure to serve them
/// is only logged.
pub(crate) async fn serve_metrics(address: SocketAddr, registry: prometheus::Registry) {
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            log::warn!(address:% = address, cause:% = error;
                "cannot listen on the metrics address; metrics are not served");
            return;
        }
    };
    let bytes = match ByteCounters::open(&registry) {
        Ok(bytes) => bytes,
        Err(error) => {
            log::warn!(cause:% = error;
                "cannot register the byte counters; metrics are not served");
            return;
        }
    };
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (registry, bytes) = (registry.clone(), bytes.clone());
            let service = service_fn(move |_| {
                let traffic = wire::Traffic::read();
                bytes.set(traffic.sent, traffic.received, traffic.queued);
                let text = telemetry::render(&registry);
                async move { Ok::<_, Infallible>(Response::new(Full::new(Bytes::from(text)))) }
            });
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = served.await {
                log::debug!(cause:% = error; "metrics connection failed");
            }
        }
    });
}
