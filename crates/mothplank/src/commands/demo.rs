//! `mothplank demo`: starts one control member, two entries and stand-ins for the upstreams in one
//! process on loopback, and sends one appraisal through its four stages.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::{Duration, Instant};

use control::Control;
use entry::Entry;
use eyre::{Result, WrapErr, eyre};
use serde_json::json;
use settings::NodeSettings;
use types::{Document, Micros, VmName};

use crate::client::{Client, HttpRequest};
use crate::commands::{apply, call};
use crate::config::{CallArgs, Target};
use crate::exit_codes::ExitCode;
use crate::operator::{OperatorClient, RetryPolicy};
use crate::output::{Format, note};

mod stand_ins;

use stand_ins::StandIns;

const BASE: &str = include_str!("../../demo/base.jsonc");
const OVERLAY: &str = include_str!("../../demo/sites/yard-2.jsonc");
const NODES: [&str; 2] =
    [include_str!("../../demo/vm-1.jsonc"), include_str!("../../demo/vm-2.jsonc")];

/// The operator's token and the customer's key; the settings files contain their hashes.
const TOKEN: &str = "demo-token";
const KEY: &str = "demo-key";

/// The timeout of each step.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);

/// A loopback address with port 0, which binds to any free port.
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Runs the command.
///
/// # Errors
/// Returns an error if a part cannot start or the appraisal is not answered.
pub(crate) async fn run(format: Format) -> Result<ExitCode> {
    telemetry::init_stderr_log("error");
    let folder = tempfile::tempdir().wrap_err("cannot create a temporary folder")?;
    let stand_ins = StandIns::spawn().await?;
    note(&format!("{} stand-ins for upstreams, and the platform's list of VMs", stand_ins.count()));
    let (control, nodes) = start_control(folder.path(), stand_ins.platform()).await?;
    note(&format!("control member vm-1 at {}", control.http_address()));
    let operator = OperatorClient::new(Target {
        control: vec![control.http_address()],
        token: TOKEN.to_owned(),
        timeout: STEP_TIMEOUT,
    });
    let started = operator.post("/v1/init", &json!({}), RetryPolicy::IfNotSent).await?;
    if !started.status.is_success() {
        return Err(eyre!("init: status {}", started.status));
    }
    let entries = start_entries(nodes).await?;
    let document = Document {
        base: stand_ins.fill_addresses(BASE),
        overlays: [("yard-2".parse()?, OVERLAY.to_owned())].into(),
    };
    let applied = apply::send(&operator, &document, 0, types::ChangeId::random()).await?;
    let version = applied.version.unwrap_or_default();
    for entry in &entries {
        wait_ready(entry.address()).await?;
    }
    note(&format!("version {version} of the service is in force at both entries\n"));
    let code = appraise(format, entries.iter().map(Entry::address).collect()).await?;
    for entry in entries {
        entry.drain().await;
    }
    control.drain().await;
    Ok(code)
}

async fn appraise(format: Format, entries: Vec<SocketAddr>) -> Result<ExitCode> {
    let call = CallArgs {
        pipeline: "appraise".parse()?,
        entries,
        key: KEY.to_owned(),
        input: json!({"lot": "SM-0417", "bricks": 3200, "kind": "handmade, lime mortar"}),
        deadline: Some(Duration::from_secs(7)),
        idempotency_key: None,
        max_tokens: None,
        stream: false,
        retry_for: STEP_TIMEOUT,
    };
    let (answer, code) = call::send(&call, format).await?;
    format.print(&answer, || call::describe(&answer))?;
    Ok(code)
}

/// Starts the control member on free ports and returns it with the settings of both VMs, which
/// contain these ports.
async fn start_control(data: &Path, platform: SocketAddr) -> Result<(Control, Vec<NodeSettings>)> {
    let mut nodes = Vec::new();
    for (i, text) in NODES.iter().enumerate() {
        let mut node = NodeSettings::parse(&format!("vm-{}.jsonc", i + 1), text)?;
        node.members[0].wire = ANY_PORT;
        node.members[0].http = ANY_PORT;
        if let Some(section) = &mut node.control {
            section.data = data.to_owned();
            section.platform = Some(platform);
        }
        if let Some(section) = &mut node.entry {
            section.listen = ANY_PORT;
            section.notice = types::Millis(0);
        }
        nodes.push(node);
    }
    let control = control::spawn(nodes[0].clone()).await?;
    for node in &mut nodes {
        node.members[0].wire = control.wire_address();
        node.members[0].http = control.http_address();
    }
    Ok((control, nodes))
}

async fn start_entries(nodes: Vec<NodeSettings>) -> Result<Vec<Entry>> {
    let mut entries = Vec::new();
    for node in nodes {
        let (vm, site): (VmName, _) = (node.vm.clone(), node.site.clone());
        let entry = entry::spawn(node).await?;
        note(&format!("entry {vm} of site {site} at {}", entry.address()));
        entries.push(entry);
    }
    Ok(entries)
}

/// Waits until a service is in force at an entry.
async fn wait_ready(entry: SocketAddr) -> Result<()> {
    const PAUSE: Duration = Duration::from_millis(20);
    let client = Client::new();
    let request = HttpRequest::get("/readyz", STEP_TIMEOUT);
    let deadline = Instant::now() + STEP_TIMEOUT;
    while Instant::now() < deadline {
        if client.send(entry, &request).await.is_ok_and(|it| it.status.is_success()) {
            return Ok(());
        }
        tokio::time::sleep(PAUSE).await;
    }
    Err(eyre!("the entry at {entry} did not become ready in time"))
}

/// Returns the duration of a stage's calls, so that the figures of the demo are not all zero.
fn stage_time(kind: &str) -> Micros {
    match kind {
        "encoder" => Micros(3_000),
        "retriever" => Micros(5_000),
        "reranker" => Micros(8_000),
        _ => Micros(2_000),
    }
}
