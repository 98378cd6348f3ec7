use super::*;

#[test]
fn finds_set_bits_and_rejects_invalid_words() {
    let mut bits = BitSet::default();
    let is_set = |n: usize| n % 7 == 3 || n == 64 || n == 199;
    (0..200).for_each(|n| bits.push(is_set(n)));
    assert!(bits.is_valid() && bits.next_set(200).is_none() && !bits.get(200));
    let mut found = Vec::new();
    let mut index = 0;
    while let Some(n) = bits.next_set(index) {
        found.push(n);
        index = n + 1;
    }
    assert_eq!(found, (0..200).filter(|n| is_set(*n)).collect::<Vec<_>>());
    assert_eq!(bits.count_ones(), found.len());
    assert!(bits.clear(64) && !bits.clear(64) && !bits.clear(900));
    assert_eq!((bits.next_set(60), bits.count_ones()), (Some(66), found.len() - 1));
    assert!(
        !BitSet { words: vec![1 << 9], len: 9 }.is_valid() && !BitSet { words: vec![], len: 1 }.is_valid()
    );
}
