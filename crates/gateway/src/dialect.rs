//! The border to the platform: how heads, marks and stage calls are spoken. The product defines
//! what it needs; an implementation translates and decides nothing.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};

pub use crate::life::Born;
use crate::plan::Plan;

/// A part of a prompt that requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Its id.
    pub id: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// What a request asks of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Generation {
    /// The tokens of the prompt.
    pub prompt: u32,
    /// The most tokens to generate.
    pub output: u32,
    /// The parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
}

/// What a request asks of its stages.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Segments {
    /// The number of pieces of each stage; a stage with none is left out.
    pub counts: Vec<u32>,
    /// The key of its pieces.
    pub key: String,
}

/// What the head of a request says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ask {
    /// The caller's id of this attempt.
    pub attempt: String,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The customer's key.
    pub key: Option<String>,
    /// What it asks of an engine.
    pub generation: Option<Generation>,
    /// What it asks of its stages.
    pub segments: Option<Segments>,
    /// The last event of an interrupted stream that the caller has.
    pub last_event: Option<u64>,
}

/// What the entry says to an upstream.
#[derive(Clone, Debug, Default)]
pub struct Marks<'a> {
    /// The life of the upstream that must take it.
    pub upstream: &'a str,
    /// The time that is left.
    pub left: Duration,
    /// The customer.
    pub customer: Option<&'a str>,
    /// The results that it needs.
    pub inputs: &'a [Handle],
    /// The rank at an engine; 0 goes first.
    pub priority: Option<u8>,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
}

/// What the head of an upstream's answer says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerMarks {
    /// Whether it repeats the attempt's id.
    pub same_attempt: bool,
    /// Whether it bears the upstream's seal.
    pub sealed: bool,
    /// Whether it states that the request has not run.
    pub not_run: bool,
    /// How long the upstream keeps the connection idle, where it says so.
    pub keep_alive: Option<Duration>,
}

/// The name of a result, which tells where it is kept.
pub type Handle = Arc<str>;

/// What a piece works on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PieceInput {
    /// The key of the request, for a stage that needs no results.
    Key(Arc<str>),
    /// The results of the stages before.
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
    /// The time that is left.
    pub left: Duration,
    /// What it works on.
    pub input: PieceInput,
}

/// Why a piece has no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum PieceFailure {
    /// Its time had passed at its turn.
    Late,
    /// An input is gone.
    InputGone,
    /// The upstream has no room for results.
    NoRoom,
    /// The upstream failed.
    Failed,
}

/// The result of a piece.
pub type PieceResult = Result<Handle, PieceFailure>;

/// The answer to a call with pieces.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PieceAnswer {
    /// When its sender started, where it tells.
    pub born: Option<Born>,
    /// The results, in the order of the call.
    pub results: Vec<PieceResult>,
}

/// What an upstream of stages says of its room.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoomReport {
    /// When its sender started, where it tells.
    pub born: Option<Born>,
    /// The bytes that are free for results, some hundred ms ago.
    pub free: Option<u64>,
}

/// How the platform speaks.
pub trait Dialect: Send + Sync + 'static {
    /// The path at which the balancer asks whether the entry is ready.
    const READY_PATH: &'static str;
    /// The path of a call with pieces.
    const PIECES_PATH: &'static str;
    /// The path at which an upstream reports its state.
    const REPORT_PATH: &'static str;
    /// The path of a call that gives results up.
    const FREE_PATH: &'static str;

    /// Decodes a plan.
    ///
    /// # Errors
    /// With what is wrong with it.
    fn plan(text: &[u8]) -> Result<Plan, String>;

    /// Decodes the head of a request.
    ///
    /// # Errors
    /// With what is wrong with it.
    fn ask(headers: &HeaderMap) -> Result<Ask, String>;

    /// Removes what a caller may not set, and the caller's key.
    fn strip(headers: &mut HeaderMap);

    /// Adds the entry's marks.
    fn mark(headers: &mut HeaderMap, marks: &Marks<'_>);

    /// Decodes the head of an upstream's answer to `attempt`.
    fn answer(status: StatusCode, headers: &HeaderMap, attempt: &str) -> AnswerMarks;

    /// Encodes a call with pieces.
    fn pieces(calls: &[PieceCall]) -> Bytes;

    /// Decodes the answer to a call with pieces.
    ///
    /// # Errors
    /// With what is wrong with it.
    fn results(body: &[u8]) -> Result<PieceAnswer, String>;

    /// Decodes an upstream's report of its room. What can't be read tells nothing.
    fn room(body: &[u8]) -> RoomReport;

    /// Encodes a call that gives results up.
    fn free(handles: &[Handle]) -> Bytes;

    /// Gives the address at which a result is kept.
    fn keeper(handle: &str) -> Option<std::net::SocketAddr>;
}
