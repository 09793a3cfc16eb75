//! Which bytes of a connection are heads, and which heads give a body two lengths.

use std::convert::Infallible;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use gateway::guard::Framing;
use http::{Request, Response, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use proptest::collection::vec;
use proptest::prelude::{
    Arbitrary, BoxedStrategy, Just, Strategy, any, prop_assert, prop_assert_eq, prop_oneof,
    proptest,
};
use tokio::io::AsyncWriteExt;

struct Case {
    name: &'static str,
    text: &'static str,
    /// The number of sound heads, and whether the connection is lost after them.
    expected: (u64, bool),
}

const fn case(name: &'static str, text: &'static str, expected: (u64, bool)) -> Case {
    Case { name, text, expected }
}

const CASES: &[Case] = &[
    case("a length", "POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\na", (1, false)),
    case(
        "no body",
        "GET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
        (2, false),
    ),
    case(
        "one each in two heads",
        "POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\nPOST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        (2, false),
    ),
    case("empty lines before a head", "\r\n\r\nGET / HTTP/1.1\r\n\r\n", (1, false)),
    case("line feeds alone", "GET / HTTP/1.1\nA: b\n\nGET / HTTP/1.1\n\n", (2, false)),
    case(
        "both in a body",
        "POST / HTTP/1.1\r\nContent-Length: 46\r\n\r\nContent-Length: 5\r\nTransfer-Encoding: chunked",
        (1, false),
    ),
    case(
        "a length in a body, before chunks",
        "POST / HTTP/1.1\r\nContent-Length: 15\r\n\r\nContent-Length:POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
        (2, false),
    ),
    case(
        "both in chunks, an extension and a trailer",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5 ;Content-Length: 1\r\n\r\n\r\na\r\n0\r\nContent-Length: 1\r\n\r\nGET / HTTP/1.1\r\n\r\n",
        (2, false),
    ),
    case(
        "the same length twice",
        "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\naGET / HTTP/1.1\r\n\r\n",
        (2, false),
    ),
    case(
        "both in one head",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n",
        (0, true),
    ),
    case(
        "both in the second head",
        "GET / HTTP/1.1\r\n\r\nPOST / HTTP/1.1\r\ncontent-length: 1\r\nTRANSFER-ENCODING: chunked\r\n\r\n",
        (1, true),
    ),
    case(
        "both behind a body with an empty line",
        "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\na\r\n\r\nPOST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        (1, true),
    ),
    case(
        "both, after line feeds alone",
        "GET / HTTP/1.1\n\nPOST / HTTP/1.1\nContent-Length: 1\nTransfer-Encoding: chunked\n\n",
        (1, true),
    ),
    case(
        "both, spelt with an underscore",
        "POST / HTTP/1.1\r\nContent_Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        (0, true),
    ),
    case(
        "both, the encoding spelt with an underscore",
        "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer_Encoding: chunked\r\n\r\n",
        (0, true),
    ),
    case(
        "both, each of them twice",
        "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: gzip\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        (0, true),
    ),
    case(
        "both, space before a colon",
        "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding : chunked\r\n\r\n",
        (0, true),
    ),
    case(
        "both, one folded",
        "POST / HTTP/1.1\r\nContent-Length: 1\r\nA: b\r\n Transfer-Encoding: chunked\r\n\r\n",
        (0, true),
    ),
    case(
        "two lengths",
        "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        (0, true),
    ),
    case("lengths in a list", "POST / HTTP/1.1\r\nContent-Length: 1, 1\r\n\r\n", (0, true)),
    case("a signed length", "POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\n", (0, true)),
    case(
        "an unknown encoding",
        "POST / HTTP/1.1\r\nTransfer-Encoding: identity\r\n\r\n",
        (0, true),
    ),
    case(
        "chunks of an old version",
        "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
        (0, true),
    ),
    case(
        "chunks without a size",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n;a\r\n",
        (1, true),
    ),
    case(
        "a chunk of more bytes than there are",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10000000000000000\r\n",
        (1, true),
    ),
    case(
        "a chunk longer than its size",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n",
        (1, true),
    ),
];

/// Follows reads that end before the bytes at `cuts`.
fn follow(text: &[u8], cuts: impl Fn(usize) -> bool) -> (u64, bool) {
    let mut framing = Framing::default();
    let mut begun = 0;
    for at in 1..=text.len() {
        if at == text.len() || cuts(at) {
            framing.push(&text[begun..at]);
            begun = at;
        }
    }
    (framing.sound(), framing.is_lost())
}

/// Guards against an upstream that runs a request that no caller sent, and against a sound one that is
/// refused for what a body holds. A head gives both a length and chunked encoding, and the body has a
/// request after its last chunk, which would be taken for the connection's next request.
#[test]
fn a_head_with_two_lengths_is_told_from_what_a_body_holds() {
    for Case { name, text, expected } in CASES {
        let text = text.as_bytes();
        assert_eq!(follow(text, |_| false), *expected, "{name}, in one read");
        assert_eq!(follow(text, |_| true), *expected, "{name}, byte by byte");
        for cut in 1..text.len() {
            assert_eq!(follow(text, |at| at == cut), *expected, "{name}, cut at {cut}");
        }
    }
}

/// Pieces of bodies that look like heads, ends and chunks.
fn body() -> impl Strategy<Value = Vec<u8>> {
    let piece = prop_oneof![
        Just(b"Content-Length: 5\r\n".to_vec()),
        Just(b"Transfer-Encoding: chunked\r\n".to_vec()),
        Just(b"\r\n\r\n".to_vec()),
        Just(b"\n\n".to_vec()),
        Just(b"0\r\n\r\n".to_vec()),
        Just(
            b"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec()
        ),
        vec(any::<u8>(), 0..40),
    ];
    vec(piece, 0..5).prop_map(|it| it.concat())
}

/// Returns a sound request, with a length or in chunks of this many bytes.
fn sound(body: &[u8], chunk: Option<usize>) -> Vec<u8> {
    let Some(size) = chunk else {
        let head = format!("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n", body.len());
        return [head.as_bytes(), body].concat();
    };
    let mut text = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nHost: a\r\n\r\n".to_vec();
    for chunk in body.chunks(size) {
        text.extend(format!("{:X};Content-Length=5\r\n", chunk.len()).bytes());
        text.extend(chunk);
        text.extend(b"\r\n");
    }
    text.extend(b"000\r\nTransfer-Encoding: chunked\r\n\r\n");
    text
}

/// Heads that give a body two lengths.
const SMUGGLING: [&str; 4] = [
    "POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\nA: b\r\ncontent-length: 5\r\n\r\n0\r\n\r\n",
    "POST / HTTP/1.1\nContent_Length: 5\nTransfer-Encoding: chunked\n\n0\r\n\r\n",
    "POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n",
];

proptest! {
    /// Guards against a body that causes a refusal, or hides a head with two lengths behind it.
    #[test]
    fn no_body_causes_or_hides_a_refusal(
        requests in vec((body(), proptest::option::of(1_usize..30)), 1..6),
        smuggling in 0..SMUGGLING.len(),
        cuts in vec(any::<bool>(), 1..60),
    ) {
        let mut text: Vec<u8> = requests.iter().flat_map(|it| sound(&it.0, it.1)).collect();
        let count = requests.len() as u64;
        let cut = |at: usize| cuts[at % cuts.len()];
        prop_assert_eq!(follow(&text, cut), (count, false));
        text.extend(SMUGGLING[smuggling].bytes());
        text.extend(sound(b"", None));
        prop_assert_eq!(follow(&text, cut), (count, true));
    }
    /// Guards against a framing other than the library's: a request that it hands out is counted as sound,
    /// unless its head gives two lengths.
    #[test]
    fn the_library_hands_out_what_is_sound(
        requests in vec((body(), proptest::option::of(1_usize..30)), 1..4),
        smuggling in proptest::option::of(0..SMUGGLING.len()),
        edits in vec((any::<usize>(), any::<Edit>()), 0..4),
    ) {
        let mut text: Vec<u8> = requests.iter().flat_map(|it| sound(&it.0, it.1)).collect();
        text.extend(smuggling.iter().flat_map(|it| SMUGGLING[*it].bytes()));
        text.extend(sound(b"a", None));
        for (at, edit) in &edits {
            edit.apply(&mut text, *at);
        }
        // The library takes a name with an underscore for another one.
        let text: Vec<u8> = text.iter().map(|it| if *it == b'_' { b'-' } else { *it }).collect();
        let (count, is_lost) = follow(&text, |_| false);
        let handed = handed_out(&text);
        let sound = handed.len() as u64 <= count;
        // The library hands a head with two lengths out without its length, and then closes.
        let refused = is_lost && handed.len() as u64 == count + 1 && handed.last() == Some(&true);
        prop_assert!(sound || refused, "{handed:?} handed out, {count} sound, lost: {is_lost}");
        if edits.is_empty() {
            prop_assert_eq!(handed.len() as u64, count + u64::from(is_lost));
        }
    }
}

/// A change of one byte.
#[derive(Clone, Copy, Debug)]
enum Edit {
    Remove,
    Insert(u8),
    Replace(u8),
}

impl Arbitrary for Edit {
    type Parameters = ();
    type Strategy = BoxedStrategy<Self>;

    fn arbitrary_with((): ()) -> Self::Strategy {
        let byte = prop_oneof![
            any::<u8>(),
            proptest::sample::select(&b"\r\n :;,0123456789abcdefABCDEF\t"[..])
        ];
        let byte = byte.boxed();
        let insert = byte.clone().prop_map(Self::Insert);
        prop_oneof![Just(Self::Remove), insert, byte.prop_map(Self::Replace)].boxed()
    }
}

impl Edit {
    fn apply(self, text: &mut Vec<u8>, at: usize) {
        let at = at % text.len();
        match self {
            Self::Remove => drop(text.remove(at)),
            Self::Insert(byte) => text.insert(at, byte),
            Self::Replace(byte) => text[at] = byte,
        }
    }
}

/// Serves a connection that brings `text`, and reads all bodies. Returns for each request that the library
/// hands out whether it is in chunks.
fn handed_out(text: &[u8]) -> Vec<bool> {
    let handed: Arc<Mutex<Vec<bool>>> = Arc::default();
    let shared = Arc::clone(&handed);
    let service = service_fn(move |request: Request<Incoming>| {
        let in_chunks = request.headers().contains_key(header::TRANSFER_ENCODING);
        shared.lock().expect("the requests").push(in_chunks);
        async move {
            // A body that is not sound ends its connection.
            let _ = request.into_body().collect().await;
            Ok::<_, Infallible>(Response::new(Full::new(Bytes::new())))
        }
    });
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    runtime.block_on(async {
        let (mut caller, entry) = tokio::io::duplex(1 << 20);
        caller.write_all(text).await.expect("all of it");
        caller.shutdown().await.expect("the end");
        // The connection fails where the text is not HTTP.
        let _ = http1::Builder::new().serve_connection(TokioIo::new(entry), service).await;
    });
    let handed = handed.lock().expect("the requests");
    handed.clone()
}
