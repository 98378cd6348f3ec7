//! Compares seeded runs of the front node's state machine with recorded hashes of all inputs and outputs.
//!
//! The runs include faults, restarts, draining and changes of the list. A change of behavior changes a hash, and a rename
//! does not.
// The casts lose nothing, since the counts are small.
#![allow(clippy::cast_possible_truncation)]

mod canonical;
mod driver;
mod steps;

use std::collections::BTreeMap;

use driver::{Driver, Record};

/// Seeds with the recorded hashes of all inputs and outputs.
const RECORDED: [(u64, u64); 6] = [
    (1, 0x0f69_c06f_a73b_9927),
    (2, 0x089e_8d64_344c_101e),
    (3, 0x8e06_960c_61eb_afc6),
    (4, 0x2a0d_ef5a_370b_ac9a),
    (5, 0x01aa_2696_644c_24e0),
    (6, 0x9ce1_dc8d_6372_9bd8),
];

#[test]
fn seeded_runs_give_the_recorded_outputs() {
    let hashes = RECORDED.map(|(seed, _)| (seed, Driver::new(seed).run().hash));
    assert_eq!(hashes, RECORDED, "{hashes:#x?}");
}

#[test]
fn the_runs_use_every_kind_of_input_output_and_message() {
    let records: Vec<Record> = RECORDED.iter().map(|(seed, _)| Driver::new(*seed).run()).collect();
    let mut operations = BTreeMap::<&str, usize>::new();
    let mut to_viewers = BTreeMap::<u8, usize>::new();
    for record in &records {
        record.operations.iter().for_each(|(name, n)| *operations.entry(name).or_default() += n);
        record.to_viewers.iter().for_each(|(kind, n)| *to_viewers.entry(*kind).or_default() += n);
    }
    let inputs: Vec<usize> =
        (0..canonical::INPUT_KINDS).map(|tag| records.iter().map(|r| r.inputs[tag]).sum()).collect();
    let outputs: Vec<usize> =
        (0..canonical::OUTPUT_KINDS).map(|tag| records.iter().map(|r| r.outputs[tag]).sum()).collect();
    println!("inputs {inputs:?}\noutputs {outputs:?}\nto servers {operations:?}\nto viewers {to_viewers:?}");
    assert!(inputs.iter().all(|count| *count > 0), "{inputs:?}");
    assert!(outputs.iter().all(|count| *count > 0), "{outputs:?}");
    assert_eq!(operations.keys().copied().collect::<Vec<_>>(), ["end", "offer", "set", "test"]);
    // Type 51 is absent, since the decision module never moves a session.
    assert_eq!(to_viewers.keys().copied().collect::<Vec<_>>(), [9, 12, 16, 53]);
}
