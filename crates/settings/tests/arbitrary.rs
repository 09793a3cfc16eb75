//! Property tests: on arbitrary text and damaged files the parsers return faults and never panic.

use proptest::prelude::*;
use settings::{NodeSettings, check, resolve};
use types::Document;

const GOOD: &str = include_str!("files/good.jsonc");

fn check_parsers(text: &str) {
    let north = "north".parse().unwrap();
    let _ = NodeSettings::parse("node", text);
    let as_base = Document { base: text.to_owned(), ..Document::default() };
    let mut as_overlay = Document { base: GOOD.to_owned(), ..Document::default() };
    as_overlay.overlays.insert("north".parse().unwrap(), text.to_owned());
    for document in [as_base, as_overlay] {
        let checked = check(&document);
        let resolved = resolve(&document, &north);
        assert!(checked.is_err() || resolved.is_ok(), "checked, but does not resolve: {text}");
    }
}

fn json_fragment() -> impl Strategy<Value = String> {
    prop::sample::select(vec![
        "{",
        "}",
        "[",
        "]",
        ",",
        ":",
        "null",
        "true",
        "0",
        "-1",
        "1e999",
        "7.5",
        "\"pools\"",
        "\"sites\"",
        "\"upstreams\"",
        "\"stages\"",
        "\"x\"",
        "\"\\ud800\"",
        "// c\n",
        "/*",
        "\u{feff}",
    ])
    .prop_map(str::to_owned)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_text(text in any::<String>()) {
        check_parsers(&text);
    }

    #[test]
    fn arbitrary_words(words in prop::collection::vec(json_fragment(), 0..40)) {
        check_parsers(&words.concat());
    }

    #[test]
    fn damaged_files(at in any::<prop::sample::Index>(), length in 0_usize..30, word in json_fragment()) {
        let starts: Vec<usize> = GOOD.char_indices().map(|(at, _)| at).collect();
        let start = at.index(starts.len());
        let end = starts.get(start + length).copied().unwrap_or(GOOD.len());
        check_parsers(&format!("{}{word}{}", &GOOD[..starts[start]], &GOOD[end..]));
    }
}
