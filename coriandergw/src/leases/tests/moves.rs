//! When an instance joins, leaves or dies, only the necessary partitions move.

use super::*;

fn count_moved(
    before: &crate::control::PartitionTable,
    after: &crate::control::PartitionTable,
) -> usize {
    before.iter().zip(after.iter()).filter(|(earlier, later)| earlier != later).count()
}

#[tokio::test(start_paused = true)]
async fn a_join_moves_only_the_share_of_the_new_instance() {
    let mut cluster = Cluster::start(5).await;
    let before = cluster.table();
    cluster.join(5, None);
    cluster.wait_until(Cluster::is_balanced).await;
    assert_eq!(count_moved(&before, &cluster.table()), cluster.held_by(5));
}

#[tokio::test(start_paused = true)]
async fn a_leaving_instance_hands_over_what_it_holds_and_nothing_else_moves() {
    let cluster = Cluster::start(6).await;
    let before = cluster.table();
    let share = cluster.held_by(4);
    cluster.client(4).leave();
    cluster.wait_until(|cluster| cluster.held_by(4) == 0).await;
    cluster.wait_until(|cluster| cluster.assert_held_once() == usize::from(PARTITION_COUNT)).await;
    assert_eq!(count_moved(&before, &cluster.table()), share);
}

#[tokio::test(start_paused = true)]
async fn the_partitions_of_a_dead_instance_move_after_its_lease() {
    let cluster = Cluster::start(6).await;
    let before = cluster.table();
    let share = cluster.held_by(5);
    let cut_at = cluster.now();
    cluster.cut_off(5);
    cluster.wait_until(|cluster| count_moved(&before, &cluster.table()) > 0).await;
    assert!(cluster.now().since(cut_at) >= LEASE_DURATION - RENEWAL_INTERVAL);
    cluster.wait_until(|cluster| cluster.assert_held_once() == usize::from(PARTITION_COUNT)).await;
    assert_eq!(count_moved(&before, &cluster.table()), share);
    cluster.network.heal();
    cluster.wait_until(Cluster::is_balanced).await;
}

#[tokio::test(start_paused = true)]
async fn a_restarted_instance_gets_new_epochs() {
    let mut cluster = Cluster::start(4).await;
    let highest = |cluster: &Cluster| cluster.table().iter().map(|(_, row)| row.epoch).max();
    let before = highest(&cluster);
    cluster.join(3, None);
    cluster.wait_until(Cluster::is_balanced).await;
    let held = cluster.client(3).all_held(cluster.now());
    assert!(held.iter().all(|(_, epoch)| Some(*epoch) > before));
}
