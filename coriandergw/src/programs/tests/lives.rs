//! What a home says of the lives of its programs.

use crate::ids::ProgramId;
use crate::orders::ProgramLiveness;
use crate::programs::tests::world::World;
use crate::programs::tests::world::eventually;
use crate::programs::tests::world::model;

#[tokio::test]
async fn a_home_tells_which_programs_live() {
    for memory_bytes in [0, usize::MAX] {
        let world = World { memory_bytes, ..World::default() };
        let home = world.home(1);
        let [live, ended] = [home.create(10_000, 5).await, home.create(10_000, 5).await];
        home.call(&ended, model("a")).await.unwrap();
        home.programs.end(&ended.program, &ended.secret).await.unwrap();
        home.programs.park_cold();
        assert_eq!(home.programs.liveness(&live.program), Some(ProgramLiveness::Live));
        assert_eq!(home.programs.liveness(&ended.program), Some(ProgramLiveness::Gone));
        let stranger = ProgramId::child_from_random(&live.program, [0; 8]);
        assert_eq!(home.programs.liveness(&stranger), Some(ProgramLiveness::Gone));
    }
}

#[tokio::test]
async fn nothing_is_told_without_a_lease_or_before_the_journal_is_read() {
    let world = World::default();
    let former = world.home(1);
    let live = former.create(10_000, 5).await;
    let home = world.home(2);
    // Never wrong meanwhile, and right in the end.
    eventually("the new home has read the journal", || {
        let life = home.programs.liveness(&live.program);
        assert_ne!(life, Some(ProgramLiveness::Gone));
        life == Some(ProgramLiveness::Live)
    })
    .await;
    home.partitions.lose();
    assert_eq!(home.programs.liveness(&live.program), None);
    let elsewhere = ProgramId::try_from("p-elsewhere").unwrap();
    assert_eq!(home.programs.liveness(&elsewhere), None);
}

#[tokio::test]
async fn a_program_that_only_the_journal_holds_lives_until_it_ends() {
    let world = World { memory_bytes: 0, ..World::default() };
    let home = world.home(1);
    let [live, ended] = [home.create(10_000, 5).await, home.create(10_000, 5).await];
    home.programs.end(&ended.program, &ended.secret).await.unwrap();
    home.programs.sweep_programs().await;
    home.programs.sweep_programs().await;
    let parked = home.programs.cx.metrics.states.with_label_values(&["programs_parked"]).get();
    assert_eq!(parked, 2);
    assert_eq!(home.programs.liveness(&live.program), Some(ProgramLiveness::Live));
    assert_eq!(home.programs.liveness(&ended.program), Some(ProgramLiveness::Gone));
}
