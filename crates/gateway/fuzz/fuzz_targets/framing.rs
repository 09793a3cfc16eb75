//! Any bytes of a caller, in reads of any size: they are followed alike, and none crash the process.
//! Run it with `cargo fuzz run framing -s none` in `crates/gateway`.

#![no_main]

use gateway::guard::Framing;
use libfuzzer_sys::fuzz_target;

/// The number of bytes of an input that tell where its reads end.
const CUT_BYTES: usize = 4;

fn follow(reads: impl Iterator<Item = impl AsRef<[u8]>>) -> (u64, bool) {
    let mut framing = Framing::default();
    reads.for_each(|it| framing.push(it.as_ref()));
    (framing.sound(), framing.is_lost())
}

fuzz_target!(|input: &[u8]| {
    let Some((cuts, text)) = input.split_first_chunk::<CUT_BYTES>() else { return };
    let whole = follow([text].iter());
    let mut rest = text;
    let reads = cuts.iter().cycle().map_while(|cut| {
        let (read, after) = rest.split_at_checked(usize::from(*cut).max(1)).unwrap_or((rest, &[]));
        rest = after;
        (!read.is_empty()).then_some(read)
    });
    assert_eq!(follow(reads), whole);
    // After a sound connection, a head with two lengths is refused.
    if !whole.1 {
        let head = b"\r\nGET / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
        let (sound, _) = follow([text, head].iter());
        assert!(sound <= whole.0 + 1, "{sound} sound, {} before", whole.0);
    }
});
