//! The list of tests known to fail: `.ci/run` skips exactly those, and fails if the list is invalid.

use std::fs;
use std::os::unix::fs::symlink;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use tempfile::TempDir;

const LISTING: &str = "front::waits: test\nfront::waits_long: test\nlist::empty: test\nlist::old: test\n\
                       twice: test\ntwice: test\nsrc/lib.rs - Node (line 7): test\n\n7 tests, 0 benchmarks\n";

/// Directory that `.ci/run` takes for the repository's root, with a fake cargo.
struct FakeRepository(TempDir);

impl FakeRepository {
    fn new(known_red: Option<&str>) -> FakeRepository {
        let dir = tempfile::tempdir().expect("create a temporary directory");
        let ci = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../.ci");
        fs::create_dir(dir.path().join(".ci")).expect("create a directory");
        for name in ["run", "known-red"] {
            symlink(ci.join(name), dir.path().join(".ci").join(name)).expect("create a symbolic link");
        }
        fs::write(dir.path().join("listing"), LISTING).expect("write");
        if let Some(text) = known_red {
            fs::write(dir.path().join("KNOWN-RED.txt"), text).expect("write");
        }
        FakeRepository(dir)
    }

    fn path(&self, name: &str) -> PathBuf {
        self.0.path().join(name)
    }

    fn run(&self) -> Output {
        let fake_cargo = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/known_red");
        let path = std::env::var("PATH").unwrap_or_default();
        Command::new("bash")
            .arg(self.path(".ci/run"))
            .env("PATH", format!("{}:{path}", fake_cargo.display()))
            .env("CALLS", self.path("calls"))
            .env("LISTING", self.path("listing"))
            .output()
            .expect("run bash")
    }

    /// Returns the arguments of each call of cargo that runs tests, without those that list them.
    fn test_calls(&self) -> Vec<String> {
        let calls = fs::read_to_string(self.path("calls")).expect("read the calls");
        let tests = calls.lines().filter(|call| call.starts_with("test") && !call.contains("--list"));
        tests.map(str::to_owned).collect()
    }
}

/// Returns the errors of a run that must fail before any test has run.
fn errors_of_rejected_list(known_red: &str) -> String {
    let repository = FakeRepository::new(Some(known_red));
    let output = repository.run();
    assert!(!output.status.success(), "accepted {known_red:?}");
    assert_eq!(repository.test_calls(), Vec::<String>::new(), "with {known_red:?}");
    String::from_utf8(output.stderr).expect("UTF-8")
}

#[test]
fn missing_list_runs_all_tests() {
    let repository = FakeRepository::new(None);
    assert!(repository.run().status.success());
    let calls = fs::read_to_string(repository.path("calls")).expect("read the calls");
    assert!(!calls.contains("--list"), "{calls}");
    assert_eq!(repository.test_calls(), ["test --workspace --locked"]);
}

#[test]
fn skipped_tests_are_printed() {
    let lines = [
        "front::waits, late by a turn, then early, 33",
        "list::old, the number goes back, #34",
        "list::empty, nothing, in words, 35",
    ];
    // The last line may lack its line feed.
    let repository = FakeRepository::new(Some(&lines.join("\n")));
    let output = repository.run();
    let errors = String::from_utf8(output.stderr).expect("UTF-8");
    assert!(output.status.success(), "{errors}");
    for line in lines {
        assert!(errors.contains(line), "{line} in {errors}");
    }
    let skips = "--skip front::waits --skip list::old --skip list::empty";
    assert_eq!(repository.test_calls(), [format!("test --workspace --locked -- --exact {skips}")]);
}

#[test]
fn empty_list_runs_all_tests() {
    let repository = FakeRepository::new(Some(""));
    assert!(repository.run().status.success());
    assert_eq!(repository.test_calls(), ["test --workspace --locked --"]);
}

#[test]
fn rejects_four_lines() {
    let lines = "front::waits, a, 1\nfront::waits_long, a, 1\nlist::empty, a, 1\nlist::old, a, 1\n";
    assert!(errors_of_rejected_list(lines).contains("4 lines, three at most"));
}

#[test]
fn rejects_malformed_line() {
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
        let errors = errors_of_rejected_list(&format!("list::empty, a, 1\n{line}\n"));
        assert!(errors.contains("not of the form 'test, cause, issue'"), "{line:?}: {errors}");
        assert!(errors.contains(&format!("'{line}'")), "{line:?}: {errors}");
    }
}

#[test]
fn rejects_unknown_test() {
    // Parts of names, patterns and other lines of the listing aren't names of tests.
    for name in ["front::gone", "front::wait", "waits", "list::*", "7", "list::old:"] {
        let errors = errors_of_rejected_list(&format!("{name}, late by a turn, 33\n"));
        assert!(errors.contains(&format!("there is no test '{name}'")), "{name}: {errors}");
    }
}

/// The harness of documentation tests would take each word of the name for a name of its own.
#[test]
fn rejects_documentation_test() {
    let errors = errors_of_rejected_list("src/lib.rs - Node (line 7), no such type yet, 35\n");
    assert!(errors.contains("a test in the documentation can't be passed over"), "{errors}");
}

#[test]
fn rejects_ambiguous_or_repeated_name() {
    assert!(errors_of_rejected_list("twice, a, 1\n").contains("2 tests are called 'twice'"));
    assert!(errors_of_rejected_list("list::old, a, 1\nlist::old, b, 2\n").contains("stands there twice"));
}

/// Checks the arguments against the real test harness: this program lists its own tests with them.
#[test]
fn harness_skips_exactly_the_named_test() {
    let list = |arguments: &[&str]| {
        let this = std::env::current_exe().expect("path of this program");
        let output = Command::new(this).arg("--list").args(arguments).output().expect("list the tests");
        assert!(output.status.success());
        String::from_utf8(output.stdout).expect("UTF-8")
    };
    let name = "skipped_test";
    let repository = FakeRepository::new(Some(&format!("{name}, used by the test of the harness, 33\n")));
    let all = list(&[]);
    fs::write(repository.path("listing"), &all).expect("write");
    assert!(repository.run().status.success());
    let calls = repository.test_calls();
    let arguments =
        calls[0].strip_prefix("test --workspace --locked -- ").expect("arguments for the harness");
    let rest = list(&arguments.split(' ').collect::<Vec<_>>());
    let tests = |text: &str| text.lines().filter(|line| line.ends_with(": test")).count();
    assert!(!rest.lines().any(|line| line == "skipped_test: test"), "{rest}");
    assert_eq!(tests(&rest) + 1, tests(&all), "{rest}");
}

/// Has a name that is a prefix of another test's name, for `harness_skips_exactly_the_named_test`.
#[test]
fn skipped_test() {
    assert!(LISTING.contains("front::waits: test"));
}
