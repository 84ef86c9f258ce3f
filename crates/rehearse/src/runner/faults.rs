//! Injects the scheduled faults of a day.

use super::fleet::RunningFleet;
use super::{RunError, record_fault};
use crate::day::{FaultKind, ScheduledFault};
use pepperhook_playout::record::unix_nanos;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s.max(0.0))
}

/// Injects one scheduled fault and removes it at its end.
pub async fn inject(fleet: &Rc<RunningFleet>, number: u64, fault: &ScheduledFault) -> Result<(), RunError> {
    let duration = seconds(fault.for_s);
    let settings = fleet.day.fleet.clone();
    let text = serde_json::to_string(fault).unwrap_or_default();
    record_fault(&fleet.recorder, "begins", format!("{number}: {text}"));
    match &fault.kind {
        FaultKind::Uplink { racks, left } => {
            let affected: Vec<u32> =
                (0..settings.nodes).filter(|n| racks.contains(&(n % settings.racks))).collect();
            set_faults(fleet, &affected, |f| f.uplink_left = *left).await;
            sleep(duration).await;
            set_faults(fleet, &affected, |f| f.uplink_left = 0.0).await;
        }
        FaultKind::Links { left } => {
            let all: Vec<u32> = (0..settings.nodes).collect();
            set_faults(fleet, &all, |f| f.link_left = *left).await;
            sleep(duration).await;
            set_faults(fleet, &all, |f| f.link_left = 0.0).await;
        }
        FaultKind::Crash { nodes } => {
            for n in nodes {
                fleet.kill_node(*n).await;
            }
            sleep(duration).await;
            for n in nodes {
                fleet.start_node(*n, true).await?;
            }
        }
        FaultKind::Ageing { nodes, to_ms } => {
            let begin = Instant::now();
            while begin.elapsed() < duration {
                let part = begin.elapsed().as_secs_f64() / duration.as_secs_f64().max(0.001);
                let slow = (*to_ms as f64 * part) as u64;
                set_faults(fleet, nodes, |f| f.slow_ms = slow).await;
                sleep(Duration::from_millis(500)).await;
            }
            for n in nodes {
                fleet.kill_node(*n).await;
            }
            sleep(seconds(3.0)).await;
            for n in nodes {
                fleet.nodes.borrow_mut()[*n as usize].faults.slow_ms = 0;
                fleet.start_node(*n, true).await?;
            }
        }
        FaultKind::Errors { nodes, share } => {
            set_faults(fleet, nodes, |f| f.error = *share).await;
            sleep(duration).await;
            set_faults(fleet, nodes, |f| f.error = 0.0).await;
        }
        FaultKind::Hang { nodes, share } => {
            set_faults(fleet, nodes, |f| f.hang = *share).await;
            sleep(duration).await;
            set_faults(fleet, nodes, |f| f.hang = 0.0).await;
        }
        FaultKind::Truncate { nodes, share } => {
            set_faults(fleet, nodes, |f| f.truncate = *share).await;
            sleep(duration).await;
            set_faults(fleet, nodes, |f| f.truncate = 0.0).await;
        }
        FaultKind::Drain { nodes } => {
            set_listed(fleet, nodes, "draining");
            sleep(duration).await;
            set_listed(fleet, nodes, "ready");
        }
        FaultKind::Deploy { batch, drain_s } => {
            deploy(fleet, (*batch).max(1), seconds(*drain_s), duration).await?
        }
        FaultKind::ZoneLoss { zone, fronts } => {
            let nodes: Vec<u32> = (0..settings.nodes).filter(|n| n % settings.zones == *zone).collect();
            let affected_fronts: Vec<u32> =
                (0..settings.fronts).filter(|f| *fronts && f % settings.zones == *zone).collect();
            for n in &nodes {
                fleet.kill_node(*n).await;
            }
            for f in &affected_fronts {
                fleet.kill_front(*f).await;
            }
            sleep(duration).await;
            for n in &nodes {
                fleet.start_node(*n, true).await?;
            }
            for f in &affected_fronts {
                fleet.start_front(*f).await?;
            }
        }
        FaultKind::ListDown => {
            fleet.list.borrow_mut().down = true;
            sleep(duration).await;
            fleet.list.borrow_mut().down = false;
        }
        FaultKind::ListLate { by_s } => {
            fleet.list.borrow_mut().late_s = *by_s;
            sleep(duration).await;
            fleet.list.borrow_mut().late_s = 0.0;
        }
        FaultKind::FrontKill { fronts } => {
            for f in fronts {
                fleet.kill_front(*f).await;
            }
            sleep(duration).await;
            for f in fronts {
                fleet.start_front(*f).await?;
            }
        }
        FaultKind::FrontRoll { down_s } => {
            for f in 0..settings.fronts {
                if let Some((front, how)) = fleet.stop_front(f).await {
                    return Err(RunError::Start(front, format!("it did not shut down gracefully: {how}")));
                }
                sleep(seconds(*down_s)).await;
                fleet.start_front(f).await?;
            }
        }
        FaultKind::FrontStall { fronts, ms, every_s } => {
            let begin = Instant::now();
            while begin.elapsed() < duration {
                for f in fronts {
                    fleet.stall_front(*f, *ms).await;
                }
                sleep(seconds(every_s.max(0.5))).await;
            }
        }
        FaultKind::Announce { peak, front, title, viewers, rung, after_s, lasts_s, lead_s } => {
            let start_ms = unix_nanos() / 1_000_000 + (after_s * 1e3) as u64;
            let announcement = serde_json::json!({
                "name": peak, "titles": [format!("title-{title}")], "class": "replay", "viewers": [[0, viewers]],
                "start_ms": start_ms, "end_ms": start_ms + (lasts_s * 1e3) as u64, "lead_ms": (lead_s * 1e3) as u64,
                "rung": rung,
            });
            fleet.send_to_front(*front, "POST", "/peaks", announcement.to_string()).await?;
        }
        FaultKind::CancelPeak { peak, front } => {
            fleet.send_to_front(*front, "DELETE", &format!("/peaks/{peak}"), String::new()).await?;
        }
        // These change the arrivals; see `arrive`.
        FaultKind::Burst { .. } | FaultKind::TenantBurst { .. } | FaultKind::HotTitle { .. } => {
            sleep(duration).await
        }
    }
    record_fault(&fleet.recorder, "ends", number.to_string());
    Ok(())
}

async fn set_faults(fleet: &RunningFleet, nodes: &[u32], change: impl Fn(&mut pepperhook_playout::Faults)) {
    for n in nodes {
        fleet.change_faults(*n, &change).await;
    }
}

/// Sets the state of nodes in the list; a node that is down remains `gone`.
fn set_listed(fleet: &RunningFleet, nodes: &[u32], state: &'static str) {
    let mut all = fleet.nodes.borrow_mut();
    for n in nodes {
        let node = &mut all[*n as usize];
        if node.address.is_some() {
            node.listed = state;
        }
    }
}

/// Drains and restarts all nodes, batch by batch.
async fn deploy(
    fleet: &RunningFleet,
    batch: u32,
    drain: Duration,
    duration: Duration,
) -> Result<(), RunError> {
    let nodes: Vec<u32> = (0..fleet.day.fleet.nodes).collect();
    let batches: Vec<&[u32]> = nodes.chunks(batch as usize).collect();
    let each = duration / u32::try_from(batches.len()).unwrap_or(1).max(1);
    for batch in batches {
        let begin = Instant::now();
        set_listed(fleet, batch, "draining");
        sleep(drain).await;
        for n in batch {
            // A node that another fault killed is restarted by that fault.
            if fleet.nodes.borrow()[*n as usize].address.is_some() {
                fleet.kill_node(*n).await;
                fleet.start_node(*n, true).await?;
            }
        }
        sleep(each.saturating_sub(begin.elapsed())).await;
    }
    Ok(())
}
