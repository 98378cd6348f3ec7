//! The list of tests known to fail: `.ci/run` passes over exactly those, and a list it can't follow fails the run.

use std::fs;
use std::os::unix::fs::symlink;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use tempfile::TempDir;

const LISTING: &str = "front::waits: test\nfront::waits_long: test\nlist::empty: test\nlist::old: test\n\
                       twice: test\ntwice: test\nsrc/lib.rs - Node (line 7): test\n\n7 tests, 0 benchmarks\n";

/// A folder that looks like the root to `.ci/run`, with a stand-in for cargo.
struct Root(TempDir);

impl Root {
    fn new(known_red: Option<&str>) -> Root {
        let dir = tempfile::tempdir().expect("a folder");
        let ci = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../.ci");
        fs::create_dir(dir.path().join(".ci")).expect("made");
        for name in ["run", "known-red"] {
            symlink(ci.join(name), dir.path().join(".ci").join(name)).expect("linked");
        }
        fs::write(dir.path().join("listing"), LISTING).expect("written");
        if let Some(text) = known_red {
            fs::write(dir.path().join("KNOWN-RED.txt"), text).expect("written");
        }
        Root(dir)
    }

    fn path(&self, name: &str) -> PathBuf {
        self.0.path().join(name)
    }

    fn run(&self) -> Output {
        let stand_in = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/known_red");
        let path = std::env::var("PATH").unwrap_or_default();
        Command::new("bash")
            .arg(self.path(".ci/run"))
            .env("PATH", format!("{}:{path}", stand_in.display()))
            .env("CALLS", self.path("calls"))
            .env("LISTING", self.path("listing"))
            .output()
            .expect("bash")
    }

    /// How cargo was called to run the tests, listings left out.
    fn tests_run(&self) -> Vec<String> {
        let calls = fs::read_to_string(self.path("calls")).expect("calls");
        let tests = calls.lines().filter(|call| call.starts_with("test") && !call.contains("--list"));
        tests.map(str::to_owned).collect()
    }
}

/// What a run says that must fail before any test has run.
fn refused(known_red: &str) -> String {
    let root = Root::new(Some(known_red));
    let output = root.run();
    assert!(!output.status.success(), "passed with {known_red:?}");
    assert_eq!(root.tests_run(), Vec::<String>::new(), "with {known_red:?}");
    String::from_utf8(output.stderr).expect("text")
}

#[test]
fn without_the_file_the_command_runs_as_it_is() {
    let root = Root::new(None);
    assert!(root.run().status.success());
    let calls = fs::read_to_string(root.path("calls")).expect("calls");
    assert!(!calls.contains("--list"), "{calls}");
    assert_eq!(root.tests_run(), ["test --workspace --locked"]);
}

#[test]
fn each_line_is_printed_and_its_test_passed_over() {
    let lines = [
        "front::waits, late by a turn, then early, 33",
        "list::old, the number goes back, #34",
        "list::empty, nothing, in words, 35",
    ];
    // The last line may lack its line feed.
    let root = Root::new(Some(&lines.join("\n")));
    let output = root.run();
    let said = String::from_utf8(output.stderr).expect("text");
    assert!(output.status.success(), "{said}");
    for line in lines {
        assert!(said.contains(line), "{line} in {said}");
    }
    let skips = "--skip front::waits --skip list::old --skip list::empty";
    assert_eq!(root.tests_run(), [format!("test --workspace --locked -- --exact {skips}")]);
}

#[test]
fn an_empty_file_passes_over_nothing() {
    let root = Root::new(Some(""));
    assert!(root.run().status.success());
    assert_eq!(root.tests_run(), ["test --workspace --locked --"]);
}

#[test]
fn a_fourth_line_fails_the_run() {
    let lines = "front::waits, a, 1\nfront::waits_long, a, 1\nlist::empty, a, 1\nlist::old, a, 1\n";
    assert!(refused(lines).contains("4 lines, three at most"));
}

#[test]
fn a_line_of_another_form_fails_the_run() {
    let bad = [
        "list::old",
        "list::old, 33",
        "list::old, , 33",
        "list::old, the number goes back,",
        "list::old, the number goes back, soon",
        ", the number goes back, 33",
        "list::old the number goes back 33",
        "list::old, the number goes back, 33\r",
        "# list::old, the number goes back, 33, or so",
        "",
    ];
    for line in bad {
        let said = refused(&format!("list::empty, a, 1\n{line}\n"));
        assert!(said.contains("not of the form 'test, cause, issue'"), "{line:?}: {said}");
        assert!(said.contains(&format!("'{line}'")), "{line:?}: {said}");
    }
}

#[test]
fn a_line_without_its_test_fails_the_run() {
    // Parts, patterns and other lines of the listing are no names.
    for name in ["front::gone", "front::wait", "waits", "list::*", "7", "list::old:"] {
        let said = refused(&format!("{name}, late by a turn, 33\n"));
        assert!(said.contains(&format!("there is no test '{name}'")), "{name}: {said}");
    }
}

/// Its harness would take the words of the name for names of their own.
#[test]
fn a_test_in_the_documentation_fails_the_run() {
    let said = refused("src/lib.rs - Node (line 7), no such type yet, 35\n");
    assert!(said.contains("a test in the documentation can't be passed over"), "{said}");
}

#[test]
fn a_name_that_two_tests_share_or_two_lines_fails_the_run() {
    assert!(refused("twice, a, 1\n").contains("2 tests are called 'twice'"));
    assert!(refused("list::old, a, 1\nlist::old, b, 2\n").contains("stands there twice"));
}

/// The arguments mean to the real harness what they are meant to: this program is asked for its own list.
#[test]
fn the_harness_passes_over_exactly_the_test_named() {
    let list = |arguments: &[&str]| {
        let this = std::env::current_exe().expect("this program");
        let output = Command::new(this).arg("--list").args(arguments).output().expect("listed");
        assert!(output.status.success());
        String::from_utf8(output.stdout).expect("text")
    };
    let name = "a_name";
    let root = Root::new(Some(&format!("{name}, stands here for that, 33\n")));
    let whole = list(&[]);
    fs::write(root.path("listing"), &whole).expect("written");
    assert!(root.run().status.success());
    let calls = root.tests_run();
    let arguments = calls[0].strip_prefix("test --workspace --locked -- ").expect("arguments");
    let rest = list(&arguments.split(' ').collect::<Vec<_>>());
    let tests = |text: &str| text.lines().filter(|line| line.ends_with(": test")).count();
    assert!(!rest.lines().any(|line| line == "a_name: test"), "{rest}");
    assert_eq!(tests(&rest) + 1, tests(&whole), "{rest}");
}

/// Its name is the beginning of another's, for the test above.
#[test]
fn a_name() {
    assert!(LISTING.contains("front::waits: test"));
}
