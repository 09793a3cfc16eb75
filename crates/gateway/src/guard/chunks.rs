//! Tells the bytes of a body in chunks apart, as the HTTP library does.

/// What the next byte of a body in chunks belongs to. The numbers are sizes of chunks in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Chunk {
    /// The first digit of a size.
    #[default]
    Start,
    Size(u64),
    /// Space after a size.
    Space(u64),
    Extension(u64),
    /// The end of the line of a size.
    SizeEnd(u64),
    /// Data, of which this number of bytes is left.
    Data(u64),
    /// The carriage return after data.
    DataReturn,
    /// The line feed after data.
    DataEnd,
    /// The first byte of a trailer, or of the empty line that ends the body.
    TrailerStart,
    Trailer,
    /// The line feed after a trailer.
    TrailerEnd,
    /// The line feed of the empty line.
    End,
}

/// What follows some bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    Next(Chunk),
    /// The body has ended.
    End,
    /// The bytes are not chunks.
    Invalid,
}

impl Chunk {
    /// Takes data as far as it goes, else one byte; returns what follows, and the bytes after it.
    pub(super) fn take(self, bytes: &[u8]) -> (Step, &[u8]) {
        let Some((first, after)) = bytes.split_first() else { return (Step::Next(self), bytes) };
        let Self::Data(left) = self else { return (self.step(*first), after) };
        let taken = left.min(bytes.len() as u64);
        let next = match left - taken {
            0 => Self::DataReturn,
            left => Self::Data(left),
        };
        (Step::Next(next), &bytes[taken as usize..])
    }

    fn step(self, byte: u8) -> Step {
        let next = match (self, byte) {
            (Self::Start, _) => add_digit(0, byte),
            (Self::Size(size) | Self::Space(size), b'\t' | b' ') => Some(Self::Space(size)),
            (Self::Size(size) | Self::Space(size), b';') => Some(Self::Extension(size)),
            (Self::Size(size) | Self::Space(size) | Self::Extension(size), b'\r') => {
                Some(Self::SizeEnd(size))
            }
            (Self::Size(size), _) => add_digit(size, byte),
            (Self::Extension(size), it) if it != b'\n' => Some(Self::Extension(size)),
            (Self::SizeEnd(0), b'\n') => Some(Self::TrailerStart),
            (Self::SizeEnd(size), b'\n') => Some(Self::Data(size)),
            (Self::DataReturn, b'\r') => Some(Self::DataEnd),
            (Self::DataEnd, b'\n') => Some(Self::Start),
            (Self::TrailerStart, b'\r') => Some(Self::End),
            (Self::Trailer, b'\r') => Some(Self::TrailerEnd),
            (Self::TrailerStart | Self::Trailer, _) => Some(Self::Trailer),
            (Self::TrailerEnd, b'\n') => Some(Self::TrailerStart),
            (Self::End, b'\n') => return Step::End,
            _ => None,
        };
        next.map_or(Step::Invalid, Step::Next)
    }
}

fn add_digit(size: u64, byte: u8) -> Option<Chunk> {
    let digit = char::from(byte).to_digit(16)?;
    size.checked_mul(16)?.checked_add(digit.into()).map(Chunk::Size)
}
