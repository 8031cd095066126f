use teaselchute::core::gateway::position::{
    Continuity,
    continuity, //
};

#[test]
fn continuity_of_answers() {
    assert_eq!(continuity(3, 3), Continuity::Same);
    assert_eq!(continuity(3, 4), Continuity::Restored);
    assert_eq!(
        continuity(3, 5),
        Continuity::Restored,
        "two returns in a row"
    );
    assert_eq!(continuity(3, 2), Continuity::Outdated, "a late answer");
}
