//! A parsed file that can tell the line of each value.

use jsonc_parser::ast::{Array, Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast, parse_to_serde_value};

use crate::{Fault, Faults};

/// The maximum size of a file, in bytes.
pub(crate) const MAX_FILE_BYTES: usize = 8 << 20;

/// A file with its syntax tree.
pub(crate) struct Source<'a> {
    file: &'a str,
    text: &'a str,
    /// The byte offset of the start of each line.
    lines: Vec<usize>,
    /// The outermost value.
    pub(crate) root: Object<'a>,
}

impl<'a> Source<'a> {
    /// Parses a file whose outermost value is an object.
    pub(crate) fn parse(file: &'a str, text: &'a str) -> Result<Self, Fault> {
        let lines = line_starts(text);
        let fault = |at: usize, message: String, mend: &str| Fault {
            file: file.to_owned(),
            line: line_of(&lines, at),
            message,
            mend: mend.to_owned(),
        };
        if text.len() > MAX_FILE_BYTES {
            let message = format!("the file has {} bytes", text.len());
            return Err(fault(0, message, "keep it under 8388608 bytes"));
        }
        let parsed = parse_to_ast(text, &CollectOptions::default(), &options());
        let parsed = parsed.map_err(|e| {
            let message = format!("syntax error: {}", e.kind());
            fault(e.range().start, message, "write JSON; comments and trailing commas are allowed")
        })?;
        match parsed.value {
            Some(Value::Object(root)) => Ok(Self { file, text, lines, root }),
            _ => Err(fault(0, "the file holds no object".to_owned(), "wrap it in { and }")),
        }
    }

    /// Returns the name of the file.
    pub(crate) fn file(&self) -> &'a str {
        self.file
    }

    /// Returns the content of the file as a JSON value.
    pub(crate) fn to_json(&self) -> Result<serde_json::Value, Faults> {
        parse_to_serde_value(self.text, &options())
            .map_err(|e| Faults::from(self.fault(0, e.to_string(), "correct the file")))
    }

    /// Returns a fault at a byte offset of the file.
    pub(crate) fn fault(
        &self,
        at: usize,
        message: impl Into<String>,
        mend: impl Into<String>,
    ) -> Fault {
        let line = line_of(&self.lines, at);
        Fault { file: self.file.to_owned(), line, message: message.into(), mend: mend.into() }
    }
}

/// Returns the entries of the object at key `name`; none if it is absent or not an object.
pub(crate) fn entries<'s, 'a>(object: &'s Object<'a>, name: &str) -> &'s [ObjectProp<'a>] {
    object.get_object(name).map_or(&[], |it| &it.properties)
}

/// Returns the elements of the array at key `name`; none if it is absent or not an array.
pub(crate) fn elements<'s, 'a>(object: &'s Object<'a>, name: &str) -> &'s [Value<'a>] {
    let array: Option<&Array<'a>> = object.get_array(name);
    array.map_or(&[], |it| &it.elements)
}

/// Returns the text at key `name` with its byte offset.
pub(crate) fn text<'s>(object: &'s Object<'_>, name: &str) -> Option<(&'s str, usize)> {
    object.get_string(name).map(|it| (it.value.as_ref(), it.range.start))
}

/// Describes a value for a message.
pub(crate) fn describe(value: &Value<'_>) -> String {
    match value {
        Value::StringLit(it) => format!("the text {:?}", shorten(&it.value)),
        Value::NumberLit(it) => format!("the number {}", shorten(it.value)),
        Value::BooleanLit(it) => it.value.to_string(),
        Value::Object(_) => "an object".to_owned(),
        Value::Array(_) => "a list".to_owned(),
        Value::NullKeyword(_) => "null".to_owned(),
    }
}

/// Returns the byte offset of a value.
pub(crate) fn start(value: &Value<'_>) -> usize {
    value.range().start
}

fn shorten(text: &str) -> String {
    const MAX_CHARS: usize = 40;
    if text.chars().count() <= MAX_CHARS {
        return text.to_owned();
    }
    text.chars().take(MAX_CHARS).chain("...".chars()).collect()
}

fn options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

fn line_starts(text: &str) -> Vec<usize> {
    let ends = text.bytes().enumerate().filter(|(_, it)| *it == b'\n');
    std::iter::once(0).chain(ends.map(|(at, _)| at + 1)).collect()
}

fn line_of(lines: &[usize], at: usize) -> usize {
    lines.partition_point(|it| *it <= at)
}
