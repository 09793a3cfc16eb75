//! Edits result in the document that was written, or in none.

use proptest::prelude::*;
use types::Document;
use wire::edit::DocumentEdit;

fn document(base: &str, overlays: &[(&str, &str)]) -> Document {
    let overlays = overlays.iter().map(|(site, text)| (site.parse().unwrap(), (*text).to_owned()));
    Document { base: base.to_owned(), overlays: overlays.collect() }
}

#[test]
fn edits_make_the_new_document() {
    struct Case {
        name: &'static str,
        before: Document,
        after: Document,
    }
    let cases = [
        Case { name: "nothing", before: document("", &[]), after: document("", &[]) },
        Case { name: "same", before: document("ab", &[]), after: document("ab", &[]) },
        Case { name: "overlapping", before: document("aaa", &[]), after: document("aaaaa", &[]) },
        Case { name: "shorter", before: document("aaaaa", &[]), after: document("aa", &[]) },
        Case {
            name: "half a character",
            before: document("aéb", &[]),
            after: document("aèb", &[]),
        },
        Case { name: "other half", before: document("é", &[]), after: document("©", &[]) },
        Case {
            name: "overlays",
            before: document("b", &[("gone", "x"), ("kept", "y"), ("moved", "abc")]),
            after: document("b", &[("kept", "y"), ("moved", "aXc"), ("new", "z")]),
        },
    ];
    for Case { name, before, after } in cases {
        let edit = DocumentEdit::between(&before, &after);
        assert_eq!(edit.apply(&before), Some(after), "{name}");
    }
}

#[test]
fn an_edit_of_another_text_gives_nothing() {
    let edit = DocumentEdit::between(&document("one text", &[]), &document("one next", &[]));
    for other in ["two text", "one tex", "", "one text and more"] {
        assert_eq!(edit.apply(&document(other, &[])), None, "{other}");
    }
}

#[test]
fn a_small_change_of_a_large_document_takes_few_bytes() {
    let large: String = (0..20_000).map(|it| format!("line {it}\n")).collect();
    let changed = large.replace("line 9999\n", "line changed\n");
    let edit = DocumentEdit::between(&document(&large, &[]), &document(&changed, &[]));
    let frame = wire::encode(&edit).expect("it fits");
    assert!(frame.len() < 40, "{} bytes", frame.len());
}

proptest! {
    #[test]
    fn any_two_texts(before in "[aé©€]{0,12}", after in "[aé©€]{0,12}") {
        let (before, after) = (document(&before, &[]), document(&after, &[]));
        prop_assert_eq!(DocumentEdit::between(&before, &after).apply(&before), Some(after));
    }
}
