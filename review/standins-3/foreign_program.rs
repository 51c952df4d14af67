//! Case 14: a program is refused because a program of another client account has the same id.

use std::sync::Arc;
use std::time::Duration;

use crate::http::Message;
use crate::record::Record;
use crate::system::Shape;
use crate::system::System;
use crate::system::TURN_EVENTS;
use crate::system::document_with_tenants;
use crate::system::turn_of;

/// The programs of each account.
const PROGRAMS: usize = 20;

/// The turns that the budget of a program holds.
const TURNS: u64 = 2;

/// The keys of the two accounts.
const KEYS: [&str; 2] = ["key-of-a", "key-of-b"];

/// How many proper requests may be ended with a 4xx: 5 + one in 500.
fn denied_max(requests: usize) -> usize {
    5 + requests / 500
}

/// Runs the case; returns whether the rule held.
pub fn run(record: &Arc<Record>, has_trouble: bool) -> Result<bool, String> {
    let shape = Shape { core: 3, journal: 3, entry: 2, tolerated: 1 };
    let mut system = System::start(shape, record)?;
    let limit = Duration::from_secs(20);
    let document = document_with_tenants(1, &KEYS);
    system.order_until_done("POST", "/Config.Replace", &document, limit)?;
    let _worker = system.worker("e-1", "engines", 5)?;
    std::thread::sleep(Duration::from_secs(4));
    let fronts = system.fronts();
    let (mut sent, mut ended, mut other) = (0, 0, 0);
    for (account, key) in KEYS.iter().enumerate() {
        for program in 1..=PROGRAMS {
            // Each account numbers its programs by itself.
            let id = match has_trouble {
                true => format!("{program:06x}"),
                false => format!("{account}-{program:06x}"),
            };
            for turn in 0..TURNS {
                let front = fronts[program % fronts.len()];
                let call = turn_of(front, &id, TURNS * TURN_EVENTS, "hello")
                    .header("Authorization", &format!("Bearer {key}"));
                let answer = call.send();
                let status = answer.as_ref().map_or(0, Message::status);
                let text = match &answer {
                    Ok(answer) if status != 200 => answer.text(),
                    _ => String::new(),
                };
                record.detail(&format!(
                    "account {account} program {id} turn {turn}, budget {}: {status} {text}",
                    TURNS * TURN_EVENTS
                ));
                sent += 1;
                match status {
                    200 => {}
                    408 | 421 | 429 => other += 1,
                    400..500 => ended += 1,
                    _ => other += 1,
                }
            }
        }
        record.note(&format!(
            "account {account}: so far {sent} turns of programs within their budgets, {ended} ended with \
             a 4xx, {other} not served otherwise"
        ));
    }
    if other > sent / 10 {
        return Err("turns are not served".to_owned());
    }
    Ok(ended <= denied_max(sent))
}
