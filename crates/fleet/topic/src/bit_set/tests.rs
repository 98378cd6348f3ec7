use super::*;

#[test]
fn bits_are_found_where_they_were_set() {
    let mut bits = BitSet::default();
    let set = |n: usize| n % 7 == 3 || n == 64 || n == 199;
    (0..200).for_each(|n| bits.push(set(n)));
    assert!(bits.is_valid() && bits.next(200).is_none() && !bits.get(200));
    let mut found = Vec::new();
    let mut at = 0;
    while let Some(n) = bits.next(at) {
        found.push(n);
        at = n + 1;
    }
    assert_eq!(found, (0..200).filter(|n| set(*n)).collect::<Vec<_>>());
    assert_eq!(bits.ones(), found.len());
    assert!(bits.clear(64) && !bits.clear(64) && !bits.clear(900));
    assert_eq!((bits.next(60), bits.ones()), (Some(66), found.len() - 1));
    assert!(
        !BitSet { words: vec![1 << 9], len: 9 }.is_valid() && !BitSet { words: vec![], len: 1 }.is_valid()
    );
}
