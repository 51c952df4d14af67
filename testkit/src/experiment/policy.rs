//! The policies that are compared, and those that lack one mechanism each.

use std::sync::Arc;
use std::time::Duration;

use coriandergw::dispatch::scheduled::DispatchSettings;
use coriandergw::placement::CallDemand;
use coriandergw::placement::Candidate;
use coriandergw::placement::ExpectedFinish;
use coriandergw::placement::PlacementDecision;
use coriandergw::placement::PlacementPolicy;
use coriandergw::placement::baselines::LeastLoaded;
use coriandergw::placement::baselines::PrefixOnly;
use coriandergw::placement::baselines::RoundRobin;
use coriandergw::placement::baselines::TwoChoices;
use coriandergw::queueing::QueueSettings;

/// How often engines are asked for cache events, in their own time.
const CACHE_POLL: Duration = Duration::from_millis(500);

/// How often waiting calls are looked at, in the engines' time.
const TICK: Duration = Duration::from_millis(50);

/// A way to decide.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// All mechanisms.
    Coriandergw,
    /// Round robin, first come first served.
    RoundRobin,
    /// Least loaded, first come first served.
    LeastLoaded,
    /// Two random choices, first come first served.
    TwoChoices,
    /// The engine with the most cached tokens, first come first served.
    PrefixOnly,
    /// Without knowledge of prefixes.
    NoPrefixes,
    /// Without waiting for the engine that holds the prefix.
    NoWaiting,
    /// Calls wait in the order of their arrival.
    FirstComeQueue,
    /// Engines are not told how urgent a call is.
    NoPriorities,
    /// A computed token counts once.
    NoRecomputeWeight,
    /// A computed token counts eight times.
    HighRecomputeWeight,
    /// Cache events are not read.
    NoCacheEvents,
    /// New programs wait no longer than those under way.
    NoNewDelay,
    /// The load of an engine only breaks ties.
    NoLoadSlowdown,
    /// The load of an engine counts half as much.
    LowLoadSlowdown,
    /// The load of an engine counts three times as much.
    HighLoadSlowdown,
}

impl Policy {
    /// All policies.
    pub const ALL: &[Policy] = &[
        Policy::Coriandergw,
        Policy::RoundRobin,
        Policy::LeastLoaded,
        Policy::TwoChoices,
        Policy::PrefixOnly,
        Policy::NoPrefixes,
        Policy::NoWaiting,
        Policy::FirstComeQueue,
        Policy::NoPriorities,
        Policy::NoRecomputeWeight,
        Policy::HighRecomputeWeight,
        Policy::NoCacheEvents,
        Policy::NoNewDelay,
        Policy::NoLoadSlowdown,
        Policy::LowLoadSlowdown,
        Policy::HighLoadSlowdown,
    ];

    /// Returns the name on the command line and in rows.
    pub fn name(self) -> &'static str {
        match self {
            Policy::Coriandergw => "coriandergw",
            Policy::RoundRobin => "round_robin",
            Policy::LeastLoaded => "least_loaded",
            Policy::TwoChoices => "two_choices",
            Policy::PrefixOnly => "prefix_only",
            Policy::NoPrefixes => "no_prefixes",
            Policy::NoWaiting => "no_waiting",
            Policy::FirstComeQueue => "first_come_queue",
            Policy::NoPriorities => "no_priorities",
            Policy::NoRecomputeWeight => "no_recompute_weight",
            Policy::HighRecomputeWeight => "high_recompute_weight",
            Policy::NoCacheEvents => "no_cache_events",
            Policy::NoNewDelay => "no_new_delay",
            Policy::NoLoadSlowdown => "no_load_slowdown",
            Policy::LowLoadSlowdown => "low_load_slowdown",
            Policy::HighLoadSlowdown => "high_load_slowdown",
        }
    }

    /// Returns the policy of a name.
    pub fn find(name: &str) -> Option<Policy> {
        Policy::ALL.iter().copied().find(|policy| policy.name() == name)
    }

    fn placement_policy(self) -> Arc<dyn PlacementPolicy> {
        let usual = ExpectedFinish::default();
        match self {
            Policy::RoundRobin => Arc::<RoundRobin>::default(),
            Policy::LeastLoaded => Arc::new(LeastLoaded),
            Policy::TwoChoices => Arc::new(TwoChoices),
            Policy::PrefixOnly => Arc::new(PrefixOnly),
            Policy::NoPrefixes => Arc::<WithoutPrefixes>::default(),
            Policy::NoWaiting => Arc::<WithoutWaiting>::default(),
            Policy::NoRecomputeWeight => {
                Arc::new(ExpectedFinish { recompute_weight: 1.0, ..usual })
            }
            Policy::HighRecomputeWeight => {
                Arc::new(ExpectedFinish { recompute_weight: 8.0, ..usual })
            }
            Policy::NoLoadSlowdown => Arc::new(ExpectedFinish { load_slowdown: 0.0, ..usual }),
            Policy::LowLoadSlowdown => Arc::new(ExpectedFinish { load_slowdown: 0.5, ..usual }),
            Policy::HighLoadSlowdown => Arc::new(ExpectedFinish { load_slowdown: 3.0, ..usual }),
            _ => Arc::new(usual),
        }
    }

    /// Returns the settings of the dispatcher; `time_scale` shortens the times in them.
    pub fn settings(self, time_scale: f64, seed: u64) -> DispatchSettings {
        let usual = QueueSettings::default();
        let baseline = matches!(
            self,
            Policy::RoundRobin | Policy::LeastLoaded | Policy::TwoChoices | Policy::PrefixOnly
        );
        let new_program_delay = match self {
            Policy::NoNewDelay => Duration::ZERO,
            _ => usual.new_program_delay.mul_f64(time_scale),
        };
        let never = Duration::from_secs(3_600);
        DispatchSettings {
            queue: QueueSettings {
                delay_per_token: usual.delay_per_token.mul_f64(time_scale),
                attained_delay_max: usual.attained_delay_max.mul_f64(time_scale),
                new_program_delay,
                deadline_lead_max: usual.deadline_lead_max.mul_f64(time_scale),
                first_come_first_served: baseline || self == Policy::FirstComeQueue,
            },
            placement_policy: self.placement_policy(),
            engine_priorities: !baseline && self != Policy::NoPriorities,
            tick: TICK.mul_f64(time_scale),
            cache_poll_interval: match self {
                Policy::NoCacheEvents => never,
                _ => CACHE_POLL.mul_f64(time_scale),
            },
            seed,
        }
    }
}

#[derive(Default)]
struct WithoutPrefixes(ExpectedFinish);

impl PlacementPolicy for WithoutPrefixes {
    fn place(&self, need: CallDemand, candidates: &[Candidate]) -> PlacementDecision {
        let blank = |candidate: &Candidate| Candidate { cached_tokens: 0, ..candidate.clone() };
        let blank: Vec<Candidate> = candidates.iter().map(blank).collect();
        self.0.place(need, &blank)
    }
}

#[derive(Default)]
struct WithoutWaiting(ExpectedFinish);

impl PlacementPolicy for WithoutWaiting {
    fn place(&self, need: CallDemand, candidates: &[Candidate]) -> PlacementDecision {
        let healthy = |candidate: &Candidate| match candidate.has_room {
            true => candidate.clone(),
            false => Candidate { weight: 0.0, ..candidate.clone() },
        };
        let with_room: Vec<Candidate> = candidates.iter().map(healthy).collect();
        self.0.place(need, &with_room)
    }
}
