//! Tests of core processes on machines without a disk.

use crate::roles::core::CoreProcess;
use crate::roles::directory::DirectoryProcess;
use crate::roles::journal::JournalProcess;
use crate::roles::tests::world::Site;
use crate::roster::Role;
use crate::test_support::wait_for;

#[tokio::test]
async fn a_directory_instance_finds_the_core_and_redirects_to_it() {
    let mut site = Site::new(1, 0).await;
    let (with_disk, mut without_disk) = (site.machine(true), site.machine(true));
    without_disk.settings.data_folder = None;
    let directory = DirectoryProcess::start(&without_disk.settings).await.expect("it starts");
    assert_eq!(directory.redirect_target(directory.cx.clock.now()), None);
    let core = CoreProcess::start(&with_disk.settings).await.expect("the core starts");
    let target = || directory.redirect_target(directory.cx.clock.now());
    wait_for("a target", || target().is_some()).await;
    assert_eq!(target(), Some(with_disk.settings.ip));
    core.versions.put(1, "1".into()).await.expect("committed");
    let is_known = || directory.roster.with_view(|view| view.config_named() == 1);
    wait_for("the configuration", is_known).await;
}

#[tokio::test]
async fn a_process_whose_only_seed_has_no_disk_finds_the_core() {
    let mut site = Site::new(1, 0).await;
    let (with_disk, mut without_disk) = (site.machine(true), site.machine(true));
    without_disk.settings.data_folder = None;
    let core = CoreProcess::start(&with_disk.settings).await.expect("the core starts");
    let directory = DirectoryProcess::start(&without_disk.settings).await.expect("it starts");
    let mut machine = site.machine(true);
    machine.settings.seeds = vec![without_disk.settings.ip];
    let journal = JournalProcess::start(&machine.settings);
    let journal = tokio::time::timeout(crate::test_support::WAIT_LIMIT, journal).await;
    let journal = journal.expect("it learns the first voters from the core").expect("it starts");
    let now = || core.cx.clock.now();
    let is_heard = || {
        let heard = core.roster.with_view(|view| view.living(Role::Journal, now()));
        heard.len() == 1
    };
    wait_for("the journal instance", is_heard).await;
    // What the directory instance reports counts for discovery only.
    let at_directory = directory.roster.with_view(|view| view.living(Role::Directory, now()));
    assert_eq!(at_directory.len(), 1);
    drop(journal);
}
