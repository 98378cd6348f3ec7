use super::rate_at;

#[test]
fn interpolates_rate_between_points() {
    let curve = [(0.0, 10.0), (10.0, 20.0), (20.0, 0.0)];
    assert_eq!(
        [0.0, 5.0, 10.0, 15.0, 30.0].map(|second| rate_at(&curve, second)),
        [10.0, 15.0, 20.0, 10.0, 0.0]
    );
}
