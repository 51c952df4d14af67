//! The liveness that a home reports for programs.

use crate::ids::ProgramId;
use crate::orders::ProgramLiveness;
use crate::programs::tests::world::TestCluster;
use crate::programs::tests::world::eventually;
use crate::programs::tests::world::model;

#[tokio::test]
async fn a_home_reports_which_programs_are_live() {
    for memory_bytes in [0, usize::MAX] {
        let cluster = TestCluster { memory_bytes, ..TestCluster::default() };
        let home = cluster.home(1);
        let [live, ended] = [home.create(10_000, 5).await, home.create(10_000, 5).await];
        home.call(&ended, model("a")).await.unwrap();
        home.programs.end(&ended.program, &ended.secret).await.unwrap();
        home.programs.park_idle_trees();
        assert_eq!(home.programs.liveness(&live.program), Some(ProgramLiveness::Live));
        assert_eq!(home.programs.liveness(&ended.program), Some(ProgramLiveness::Gone));
        let stranger = ProgramId::child_from_random(&live.program, [0; 8]);
        assert_eq!(home.programs.liveness(&stranger), Some(ProgramLiveness::Gone));
    }
}

#[tokio::test]
async fn no_liveness_is_reported_without_a_lease_or_before_the_journal_is_read() {
    let cluster = TestCluster::default();
    let former = cluster.home(1);
    let live = former.create(10_000, 5).await;
    let home = cluster.home(2);
    // Until the journal is read the answer is `None`, never `Gone`.
    eventually("the new home has read the journal", || {
        let liveness = home.programs.liveness(&live.program);
        assert_ne!(liveness, Some(ProgramLiveness::Gone));
        liveness == Some(ProgramLiveness::Live)
    })
    .await;
    home.partitions.lose();
    assert_eq!(home.programs.liveness(&live.program), None);
    let elsewhere = ProgramId::try_from("p-elsewhere").unwrap();
    assert_eq!(home.programs.liveness(&elsewhere), None);
}

#[tokio::test]
async fn a_parked_program_is_live_until_it_ends() {
    let cluster = TestCluster { memory_bytes: 0, ..TestCluster::default() };
    let home = cluster.home(1);
    let [live, ended] = [home.create(10_000, 5).await, home.create(10_000, 5).await];
    home.programs.end(&ended.program, &ended.secret).await.unwrap();
    home.programs.sweep_programs().await;
    home.programs.sweep_programs().await;
    let parked = home.programs.cx.metrics.states.with_label_values(&["programs_parked"]).get();
    assert_eq!(parked, 2);
    assert_eq!(home.programs.liveness(&live.program), Some(ProgramLiveness::Live));
    assert_eq!(home.programs.liveness(&ended.program), Some(ProgramLiveness::Gone));
}
