//! What the platform's programs share: one thread, logs, signals, changed settings, metrics.

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

/// How often the settings file is looked at: it may change without a signal.
const SETTINGS_PERIOD: Duration = Duration::from_secs(1);

/// Runs a program on one thread until SIGTERM: `open` starts it, `changed` takes new settings, and
/// `end` ends it.
///
/// # Errors
/// Where it cannot start.
pub(crate) fn run<T, O, E>(
    vm: &VmName,
    path: PathBuf,
    open: impl Future<Output = Result<Arc<T>>>,
    changed: impl Fn(&T, Settings) + 'static,
    end: E,
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
        let program = open.await?;
        log::info!(vm:% = vm; "started");
        let mut ticks = interval(SETTINGS_PERIOD);
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
                    log::info!(seeds = settings.seeds.len(); "took the settings again");
                    changed(&program, settings);
                }
                Err(error) => log::warn!(cause:% = error;
                    "the changed settings can't be read; the old ones stay"),
            }
        }
        log::info!(vm:% = vm; "stopping");
        end(program).await;
        log::info!(vm:% = vm; "stopped");
        Ok(ExitCode::Success)
    })
}

fn modified(path: &Path) -> Option<std::time::SystemTime> {
    std::fs::metadata(path).and_then(|it| it.modified()).ok()
}

/// Serves metrics at every path. A program without them still does its work, so a failure to bind
/// is logged only.
pub(crate) async fn serve_metrics(address: SocketAddr, registry: prometheus::Registry) {
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            log::warn!(address:% = address, cause:% = error; "no metrics are served");
            return;
        }
    };
    let bytes = match ByteCounters::open(&registry) {
        Ok(bytes) => bytes,
        Err(error) => {
            log::warn!(cause:% = error; "no metrics are served");
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
                log::debug!(cause:% = error; "a metrics connection broke off");
            }
        }
    });
}
