//! The settings of one node, which a process needs before it can learn the service's settings.

use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use types::{ByteSize, DomainName, Millis, OperatorName, SiteName, VmName};

use crate::Faults;
use crate::document::read_file;
use crate::node_rules::check_node;
use crate::schema::NODE;
use crate::schema_check::{FileKind, check_schema};
use crate::source::Source;

/// The settings file of one node.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// The name of this VM, as in the platform's list of VMs.
    pub vm: VmName,
    /// The site of this VM.
    pub site: SiteName,
    /// The failure domain of this VM.
    pub domain: DomainName,
    /// The shared secret by which the processes of the cluster authenticate each other, at least
    /// 16 bytes.
    pub secret: String,
    /// All control members, and the spare VMs that may become members.
    pub members: Vec<Member>,
    /// The settings of `mothplank entry`; `None` where no entry runs.
    #[serde(default)]
    pub entry: Option<EntrySettings>,
    /// The settings of `mothplank control`; `None` where no control member runs.
    #[serde(default)]
    pub control: Option<ControlSettings>,
    /// The log level: `error`, `warn`, `info`, `debug` or `trace`.
    #[serde(default = "info")]
    pub log: String,
}

// Implemented by hand so that a log line that contains the settings never shows the secret.
impl fmt::Debug for NodeSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("NodeSettings")
            .field("vm", &self.vm)
            .field("site", &self.site)
            .field("domain", &self.domain)
            .field("members", &self.members)
            .field("entry", &self.entry)
            .field("control", &self.control)
            .field("log", &self.log)
            .finish_non_exhaustive()
    }
}

impl NodeSettings {
    /// Reads and checks the settings file of a node.
    ///
    /// # Errors
    /// Returns all faults of the file, each with its line.
    pub fn read(path: &Path) -> Result<Self, Faults> {
        let text = read_file(path)?;
        Self::parse(&path.display().to_string(), &text)
    }

    /// Parses and checks the settings of a node; `file` is the file name for the faults.
    ///
    /// # Errors
    /// Returns all faults of the text, each with its line.
    pub fn parse(file: &str, text: &str) -> Result<Self, Faults> {
        let source = Source::parse(file, text)?;
        let mut faults = Faults(check_schema(&source, NODE, FileKind::Complete));
        faults.0.extend(check_node(&source));
        faults.into_result()?;
        serde_json::from_value(source.to_json()?)
            .map_err(|e| Faults::from(source.fault(0, e.to_string(), "correct the file")))
    }
}

/// The addresses of a control member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// The VM it runs on.
    pub vm: VmName,
    /// Its site.
    pub site: SiteName,
    /// The address for members and entries, TCP and UDP.
    pub wire: SocketAddr,
    /// The HTTP address for operators.
    pub http: SocketAddr,
    /// Whether it is a spare: it joins the cluster only after a voter is lost for good.
    #[serde(default)]
    pub spare: bool,
}

/// The settings of `mothplank entry`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// The address for callers, which also serves `/livez`, `/readyz`, `/metrics` and `/status`.
    pub listen: SocketAddr,
    /// The number of threads that serve callers.
    #[serde(default = "four")]
    pub threads: usize,
    /// The maximum number of open connections from callers.
    #[serde(default = "connections")]
    pub connections: usize,
    /// How long a draining entry, already reported as not ready, keeps serving so that the load
    /// balancer can notice.
    #[serde(default = "notice")]
    pub notice: Millis,
}

/// The settings of `mothplank control`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// The data folder.
    pub data: PathBuf,
    /// The operators who may control the service.
    pub operators: Vec<Operator>,
    /// The HTTP address of the platform's list of VMs.
    #[serde(default)]
    pub platform: Option<SocketAddr>,
    /// The log size, in bytes, at which the log is compacted into a snapshot.
    #[serde(default = "log_size")]
    pub log_size: ByteSize,
}

/// An operator who may control the service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The name that the audit trail records.
    pub name: OperatorName,
    /// The SHA-256 of the operator's token, in lowercase hexadecimal.
    pub token: String,
}

fn info() -> String {
    "info".to_owned()
}

fn four() -> usize {
    4
}

fn connections() -> usize {
    4096
}

fn notice() -> Millis {
    Millis(2_000)
}

fn log_size() -> ByteSize {
    ByteSize(8 << 20)
}
