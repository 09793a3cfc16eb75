//! Logs as JSON lines on standard error. A line has the keys `time`, `level`, `target`, `message`
//! and those of the record, such as `request`, `step` and `peer`.

use std::io::Write;

use log::kv::{self, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use serde_json::{Map, Value as Json};

/// Keys whose values are redacted. A secret that a call site logs by mistake would otherwise stay
/// in all collected logs, even after the secret was changed.
const SECRET_KEYS: [&str; 5] = ["authorization", "bearer", "password", "secret", "token"];

/// The text that replaces a secret.
const REDACTED: &str = "(hidden)";

/// Starts logging to standard error at `level`: `error`, `warn`, `info`, `debug` or `trace`; any
/// other text means `info`.
///
/// A second call only changes the level.
pub fn init_stderr_log(level: &str) {
    let level = level.parse().unwrap_or(LevelFilter::Info);
    let mut builder = env_logger::Builder::new();
    builder.filter_level(level).format(|buffer, record| {
        let time = buffer.timestamp_millis().to_string();
        writeln!(buffer, "{}", format_line(&time, record))
    });
    if builder.try_init().is_err() {
        log::set_max_level(level);
    }
}

/// Formats a record as one line of JSON, without a line break at its end.
pub fn format_line(time: &str, record: &Record<'_>) -> String {
    let mut line = Map::new();
    line.insert("time".to_owned(), time.into());
    line.insert("level".to_owned(), record.level().as_str().to_lowercase().into());
    line.insert("target".to_owned(), record.target().into());
    line.insert("message".to_owned(), record.args().to_string().into());
    let mut fields = Fields { line: &mut line };
    // `Fields` never fails. If the source of the fields fails, only its remaining fields are lost.
    let _ = record.key_values().visit(&mut fields);
    Json::Object(line).to_string()
}

/// Adds the fields of a record to a line; keys that the line already has are kept.
struct Fields<'a> {
    line: &'a mut Map<String, Json>,
}

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let value = if is_secret(key.as_str()) { REDACTED.into() } else { to_json(&value) };
        self.line.entry(key.as_str()).or_insert(value);
        Ok(())
    }
}

fn is_secret(key: &str) -> bool {
    SECRET_KEYS.iter().any(|it| key.eq_ignore_ascii_case(it))
}

fn to_json(value: &Value<'_>) -> Json {
    if let Some(it) = value.to_u64() {
        return it.into();
    }
    if let Some(it) = value.to_i64() {
        return it.into();
    }
    if let Some(it) = value.to_f64() {
        return it.into();
    }
    if let Some(it) = value.to_bool() {
        return it.into();
    }
    value.to_string().into()
}
