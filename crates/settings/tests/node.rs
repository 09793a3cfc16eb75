//! Tests of the node settings: defaults, faults of one file, faults between files.

use settings::NodeSettings;

const GOOD: &str = r#"{
  "vm": "vm-1", "site": "north", "domain": "yard-1",
  "secret": "0123456789abcdef",
  "members": [
    { "vm": "vm-1", "site": "north", "wire": "10.0.0.1:7100", "http": "10.0.0.1:7101" },
    { "vm": "vm-2", "site": "south", "wire": "10.0.0.2:7100", "http": "10.0.0.2:7101", "spare": true },
  ],
  "entry": { "listen": "10.0.0.1:8080" },
  "control": {
    "data": "/var/lib/mothplank",
    "operators": [{ "name": "ines", "token": "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08" }],
  },
}"#;

#[test]
fn defaults_fill_what_is_left_out() {
    let node = NodeSettings::parse("node", GOOD).unwrap();
    assert_eq!(node.log, "info");
    assert_eq!(node.entry.unwrap().threads, 4);
    assert!(node.members[1].spare && !node.members[0].spare);
}

struct Case {
    name: &'static str,
    from: &'static str,
    to: &'static str,
    message: &'static str,
}

#[test]
fn each_kind_of_fault_is_found() {
    let cases = [
        Case {
            name: "short secret",
            from: "0123456789abcdef",
            to: "short",
            message: "a text of 5 bytes",
        },
        Case {
            name: "member twice",
            from: "\"vm\": \"vm-2\"",
            to: "\"vm\": \"vm-1\"",
            message: "two members have the same vm",
        },
        Case {
            name: "address twice",
            from: "10.0.0.2:7100",
            to: "10.0.0.1:7100",
            message: "two members have the same wire",
        },
        Case {
            name: "not a member",
            from: "\"vm\": \"vm-1\", \"site\": \"north\", \"domain\"",
            to: "\"vm\": \"vm-9\", \"site\": \"north\", \"domain\"",
            message: "not among the members",
        },
        Case { name: "port 0", from: "10.0.0.1:7101", to: "10.0.0.1:0", message: "is not allowed" },
        Case {
            name: "level",
            from: "\"entry\":",
            to: "\"log\": \"loud\", \"entry\":",
            message: "the text \"loud\"",
        },
        Case {
            name: "unknown key",
            from: "\"listen\"",
            to: "\"listens\"",
            message: "write \"listen\"",
        },
    ];
    for case in cases {
        assert!(GOOD.contains(case.from), "{}", case.name);
        let found = NodeSettings::parse("node", &GOOD.replacen(case.from, case.to, 1)).unwrap_err();
        assert!(found.to_string().contains(case.message), "{}: {found}", case.name);
        assert!(!found.to_string().contains("0123456789abcdef"), "{}: {found}", case.name);
    }
}

#[test]
fn a_missing_file_is_a_fault_of_that_file() {
    let found = NodeSettings::read("no/such/file.jsonc".as_ref()).unwrap_err();
    assert!(found.to_string().starts_with("no/such/file.jsonc:1: cannot be read"), "{found}");
}

#[test]
fn files_of_several_nodes_must_agree() {
    let folder = tempfile::tempdir().unwrap();
    let file = |name: &str, text: &str| {
        let path = folder.path().join(name);
        std::fs::write(&path, text).unwrap();
        path
    };
    let first = file("1", GOOD);
    let other = GOOD.replacen("\"vm\": \"vm-1\"", "\"vm\": \"vm-2\"", 1);
    let agrees = file("2", &other);
    assert_eq!(settings::check_nodes(&[first.clone(), agrees]), Ok(()));
    let same_vm = file("3", GOOD);
    let other_secret = file("4", &other.replace("0123456789abcdef", "another secret 16"));
    let other_members = file("5", &other.replace("10.0.0.2:7100", "10.0.0.9:7100"));
    let found = settings::check_nodes(&[first, same_vm, other_secret, other_members])
        .unwrap_err()
        .to_string();
    for message in
        ["3:2: vm-1 is also the VM of", "4:3: \"secret\" differs", "5:4: \"members\" differs"]
    {
        assert!(found.contains(message), "{message}: {found}");
    }
    assert!(!found.contains("another secret"), "{found}");
}
