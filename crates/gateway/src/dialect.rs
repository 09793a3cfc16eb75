//! The interface to the platform's protocol: how the heads of requests and answers, the calls for
//! stages and the plan are encoded. This crate defines what it needs; an implementation translates
//! and decides nothing.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use types::CallId;

use crate::echo::Echo;
pub use crate::incarnation::StartTime;
use crate::plan::Plan;
use crate::upstream::Need;

/// A part of a prompt that several requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// The id of the part; equal parts have equal ids.
    pub id: u64,
    /// The number of its tokens.
    pub tokens: u32,
}

impl fmt::Display for PromptPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}:{}", self.id, self.tokens)
    }
}

/// What a request asks of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Generation {
    /// The number of tokens of the prompt.
    pub prompt: u32,
    /// The maximum number of tokens to generate.
    pub output: u32,
    /// The parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
}

impl Generation {
    /// Returns the parts that other requests may share; the last one belongs to the request.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}

/// What a request asks of its stages.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Segments {
    /// The number of pieces of each stage; a stage without pieces is skipped.
    pub counts: Vec<u32>,
    /// The key of the pieces.
    pub key: String,
}

/// The decoded head of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// The caller's id of this attempt.
    pub attempt: String,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The customer's key.
    pub key: Option<String>,
    /// What the request asks of an engine.
    pub generation: Option<Generation>,
    /// What the request asks of its stages.
    pub segments: Option<Segments>,
    /// The number of the last event of an interrupted stream that the caller has received.
    pub last_event: Option<u64>,
    /// The caller's id of the attempt that brought the first event of an interrupted stream.
    pub resumed: Option<String>,
}

/// What the entry adds to the head of a request to an upstream.
#[derive(Clone, Debug, Default)]
pub struct ForwardHead<'a> {
    /// The incarnation of the upstream that must run the request.
    pub upstream: &'a str,
    /// The id of a call that the entry makes on its own behalf; a request bears its caller's.
    pub call: Option<CallId>,
    /// The time left until the deadline.
    pub left: Duration,
    /// The customer.
    pub customer: Option<&'a str>,
    /// The stage results that the request needs.
    pub inputs: &'a [Handle],
    /// The rank at an engine; 0 goes first.
    pub priority: Option<u8>,
    /// The number of the last event that the caller has received.
    pub last_event: Option<u64>,
}

/// The load of an upstream as it tells it in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ToldLoad {
    /// The number of requests that it runs.
    pub running: u32,
    /// The number of requests that wait there.
    pub waiting: u32,
    /// The number of requests that it runs at once.
    pub slots: u32,
    /// The ratio of the time that work takes on its VM now to the usual time, if it says so.
    pub pace: Option<f64>,
}

/// The decoded head of an upstream's answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AnswerHead {
    /// Whether it names the call.
    pub echo: Echo,
    /// Whether it bears the upstream's seal.
    pub sealed: bool,
    /// Whether it states that the request did not run.
    pub not_run: bool,
    /// Whether a mark states it, and not the status alone.
    pub marked: bool,
    /// How long the upstream keeps the connection idle, if it says so.
    pub keep_alive: Option<Duration>,
    /// How much longer the upstream is cold, if it says so.
    pub cold: Option<Duration>,
    /// What the upstream says of the requests that it takes from all callers together.
    pub need: Need,
    /// For how long the upstream wants no requests from this entry, if it says so as it turns one away.
    pub pause: Option<Duration>,
    /// Whether the upstream says that it leaves.
    pub leaving: bool,
    /// The load of the upstream, if it says so.
    pub load: Option<ToldLoad>,
}

/// The name of a stage result, which includes the address at which it is kept.
pub type Handle = Arc<str>;

/// The input of a piece.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PieceInput {
    /// The key of the request, for a stage that needs no results.
    Key(Arc<str>),
    /// The results of the previous stages.
    Results(Arc<Vec<Handle>>),
}

/// One piece of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PieceCall {
    /// The caller's id of the attempt.
    pub attempt: Arc<str>,
    /// The number of the stage.
    pub stage: u32,
    /// The number of the piece.
    pub segment: u32,
    /// The time left until the deadline.
    pub left: Duration,
    /// The input of the piece.
    pub input: PieceInput,
}

/// Why a piece has no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum PieceFailure {
    /// Its deadline had passed when its turn came.
    Late,
    /// An input is gone.
    InputGone,
    /// The upstream has no space left for results.
    NoRoom,
    /// The upstream failed.
    Failed,
}

/// The result of a piece.
pub type PieceResult = Result<Handle, PieceFailure>;

/// The answer to a call with pieces.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PieceAnswer {
    /// When the sender started, if it says so.
    pub start_time: Option<StartTime>,
    /// The results, in the order of the call.
    pub results: Vec<PieceResult>,
}

/// The bytes that an upstream has free for results, as it reports them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FreeSpace {
    /// The bytes.
    pub bytes: u64,
    /// By how many bytes the real value may differ, because the reported one was rounded.
    pub error: u64,
}

impl From<u64> for FreeSpace {
    /// Returns an exact value.
    fn from(bytes: u64) -> Self {
        Self { bytes, error: 0 }
    }
}

impl fmt::Display for FreeSpace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} B", self.bytes)
    }
}

/// An upstream's report of its free space for stage results.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SpaceReport {
    /// When the sender started, if it says so.
    pub start_time: Option<StartTime>,
    /// What was free for results some hundred milliseconds ago.
    pub free: Option<FreeSpace>,
}

/// The encoding and decoding of the platform's protocol.
pub trait Dialect: Send + Sync + 'static {
    /// The path at which the balancer checks whether the entry is ready.
    const READY_PATH: &'static str;
    /// The path of a call with pieces.
    const PIECES_PATH: &'static str;
    /// The path at which an upstream reports its state.
    const REPORT_PATH: &'static str;
    /// The path of a call that frees results.
    const FREE_PATH: &'static str;

    /// Decodes a plan.
    ///
    /// # Errors
    /// Returns a description of what is invalid in the plan.
    fn decode_plan(text: &[u8]) -> Result<Plan, String>;

    /// Decodes the head of a request.
    ///
    /// # Errors
    /// Returns a description of what is invalid in the head.
    fn decode_request(headers: &HeaderMap) -> Result<RequestHead, String>;

    /// Removes the headers that a caller may not set, and the caller's key.
    fn strip_headers(headers: &mut HeaderMap);

    /// Adds the entry's headers.
    fn add_headers(headers: &mut HeaderMap, head: &ForwardHead<'_>);

    /// Decodes the head of an upstream's answer to the call with the id `call`.
    fn decode_answer(status: StatusCode, headers: &HeaderMap, call: &str) -> AnswerHead;

    /// Encodes a call with pieces.
    fn encode_pieces(calls: &[PieceCall]) -> Bytes;

    /// Decodes the answer to a call with `count` pieces.
    ///
    /// # Errors
    /// Returns a description of what is invalid in the answer, such as another number of results. Then none
    /// of them is decoded.
    fn decode_results(body: &[u8], count: usize) -> Result<PieceAnswer, String>;

    /// Decodes an upstream's report of its free space. Fields that can't be decoded are left
    /// empty.
    fn decode_space(body: &[u8]) -> SpaceReport;

    /// Encodes a call that frees results.
    fn encode_free(handles: &[Handle]) -> Bytes;

    /// Returns the address at which a result is kept, or `None` for an invalid handle.
    fn holder(handle: &str) -> Option<std::net::SocketAddr>;
}
