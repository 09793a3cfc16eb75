//! The building blocks of a schema: keys, types, units and ranges.

/// The type of a value, with its constraints.
pub(crate) enum Shape {
    /// A text of at least this many bytes.
    Text(usize),
    /// A name of at most 64 letters, digits, `-`, `_` and `.`.
    Name,
    /// A non-negative integer with a unit.
    Integer(Bounds<u64>),
    /// A number with a unit.
    Number(Bounds<f64>),
    /// `true` or `false`.
    Bool,
    /// One of these words.
    Choice(&'static [&'static str]),
    /// An IP address and a port; with `true`, the port may be 0.
    Address(bool),
    /// A SHA-256 in lowercase hexadecimal.
    Hash,
    /// The path of a URL.
    UrlPath,
    /// A list of values of one shape.
    List(&'static Shape),
    /// An object whose keys are names; the text says what they name.
    Map(&'static str, &'static Shape),
    /// An object with these keys.
    Record(&'static [Field]),
}

/// The range of a number.
pub(crate) struct Bounds<T> {
    /// The unit, in the plural: `ms`, `bytes`.
    pub(crate) unit: &'static str,
    /// The minimum.
    pub(crate) min: T,
    /// The maximum.
    pub(crate) max: T,
}

/// A key of a record.
pub(crate) struct Field {
    /// The key.
    pub(crate) name: &'static str,
    /// The shape of its value.
    pub(crate) shape: Shape,
    /// Whether it is required.
    pub(crate) required: bool,
    /// Whether a site's overlay may change it.
    pub(crate) overridable: bool,
}

impl Field {
    /// Returns a required key.
    pub(crate) const fn required(name: &'static str, shape: Shape) -> Self {
        Self { name, shape, required: true, overridable: false }
    }

    /// Returns an optional key.
    pub(crate) const fn optional(name: &'static str, shape: Shape) -> Self {
        Self { name, shape, required: false, overridable: false }
    }

    /// Allows a site's overlay to change the key.
    pub(crate) const fn overridable(mut self) -> Self {
        self.overridable = true;
        self
    }
}

/// Returns the shape of a number of milliseconds.
pub(crate) const fn millis(min: u64, max: u64) -> Shape {
    Shape::Integer(Bounds { unit: "ms", min, max })
}

/// Returns the shape of a number of bytes.
pub(crate) const fn bytes(min: u64, max: u64) -> Shape {
    Shape::Integer(Bounds { unit: "bytes", min, max })
}

/// Returns the shape of an integer with a unit.
pub(crate) const fn count(unit: &'static str, min: u64, max: u64) -> Shape {
    Shape::Integer(Bounds { unit, min, max })
}

/// Returns the shape of a number with a unit.
pub(crate) const fn number(unit: &'static str, min: f64, max: f64) -> Shape {
    Shape::Number(Bounds { unit, min, max })
}
