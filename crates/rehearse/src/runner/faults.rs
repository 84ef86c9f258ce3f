//! Causes the troubles of a day.

use super::fleet::World;
use super::{RunError, note};
use crate::day::{FaultKind, ScheduledFault};
use pepperhook_playout::record::unix_nanos;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s.max(0.0))
}

/// Causes one trouble and takes it back at its end.
pub async fn cause(world: &Rc<World>, number: u64, trouble: &ScheduledFault) -> Result<(), RunError> {
    let lasts = seconds(trouble.for_s);
    let fleet = world.day.fleet.clone();
    let text = serde_json::to_string(trouble).unwrap_or_default();
    note(&world.recorder, "begins", format!("{number}: {text}"));
    match &trouble.kind {
        FaultKind::Uplink { racks, left } => {
            let there: Vec<u32> = (0..fleet.nodes).filter(|n| racks.contains(&(n % fleet.racks))).collect();
            set(world, &there, |f| f.uplink_left = *left).await;
            sleep(lasts).await;
            set(world, &there, |f| f.uplink_left = 0.0).await;
        }
        FaultKind::Links { left } => {
            let all: Vec<u32> = (0..fleet.nodes).collect();
            set(world, &all, |f| f.link_left = *left).await;
            sleep(lasts).await;
            set(world, &all, |f| f.link_left = 0.0).await;
        }
        FaultKind::Crash { nodes } => {
            for n in nodes {
                world.kill_node(*n).await;
            }
            sleep(lasts).await;
            for n in nodes {
                world.start_node(*n, true).await?;
            }
        }
        FaultKind::Ageing { nodes, to_ms } => {
            let begin = Instant::now();
            while begin.elapsed() < lasts {
                let part = begin.elapsed().as_secs_f64() / lasts.as_secs_f64().max(0.001);
                let slow = (*to_ms as f64 * part) as u64;
                set(world, nodes, |f| f.slow_ms = slow).await;
                sleep(Duration::from_millis(500)).await;
            }
            for n in nodes {
                world.kill_node(*n).await;
            }
            sleep(seconds(3.0)).await;
            for n in nodes {
                world.nodes.borrow_mut()[*n as usize].faults.slow_ms = 0;
                world.start_node(*n, true).await?;
            }
        }
        FaultKind::Errors { nodes, share } => {
            set(world, nodes, |f| f.error = *share).await;
            sleep(lasts).await;
            set(world, nodes, |f| f.error = 0.0).await;
        }
        FaultKind::Hang { nodes, share } => {
            set(world, nodes, |f| f.hang = *share).await;
            sleep(lasts).await;
            set(world, nodes, |f| f.hang = 0.0).await;
        }
        FaultKind::Half { nodes, share } => {
            set(world, nodes, |f| f.truncate = *share).await;
            sleep(lasts).await;
            set(world, nodes, |f| f.truncate = 0.0).await;
        }
        FaultKind::Drain { nodes } => {
            list(world, nodes, "draining");
            sleep(lasts).await;
            list(world, nodes, "ready");
        }
        FaultKind::Deploy { batch, drain_s } => {
            deploy(world, (*batch).max(1), seconds(*drain_s), lasts).await?
        }
        FaultKind::ZoneLoss { zone, fronts } => {
            let nodes: Vec<u32> = (0..fleet.nodes).filter(|n| n % fleet.zones == *zone).collect();
            let there: Vec<u32> = (0..fleet.fronts).filter(|f| *fronts && f % fleet.zones == *zone).collect();
            for n in &nodes {
                world.kill_node(*n).await;
            }
            for f in &there {
                world.kill_front(*f).await;
            }
            sleep(lasts).await;
            for n in &nodes {
                world.start_node(*n, true).await?;
            }
            for f in &there {
                world.start_front(*f).await?;
            }
        }
        FaultKind::ListDown => {
            world.list.borrow_mut().down = true;
            sleep(lasts).await;
            world.list.borrow_mut().down = false;
        }
        FaultKind::ListLate { by_s } => {
            world.list.borrow_mut().late_s = *by_s;
            sleep(lasts).await;
            world.list.borrow_mut().late_s = 0.0;
        }
        FaultKind::FrontKill { fronts } => {
            for f in fronts {
                world.kill_front(*f).await;
            }
            sleep(lasts).await;
            for f in fronts {
                world.start_front(*f).await?;
            }
        }
        FaultKind::FrontRoll { down_s } => {
            for f in 0..fleet.fronts {
                if let Some((front, how)) = world.stop_front(f).await {
                    return Err(RunError::Start(front, format!("it did not stop in order: {how}")));
                }
                sleep(seconds(*down_s)).await;
                world.start_front(f).await?;
            }
        }
        FaultKind::FrontStall { fronts, ms, every_s } => {
            let begin = Instant::now();
            while begin.elapsed() < lasts {
                for f in fronts {
                    world.stall_front(*f, *ms).await;
                }
                sleep(seconds(every_s.max(0.5))).await;
            }
        }
        FaultKind::Announce { peak, front, title, viewers, rung, after_s, lasts_s, lead_s } => {
            let start_ms = unix_nanos() / 1_000_000 + (after_s * 1e3) as u64;
            let said = serde_json::json!({
                "name": peak, "titles": [format!("title-{title}")], "class": "replay", "viewers": [[0, viewers]],
                "start_ms": start_ms, "end_ms": start_ms + (lasts_s * 1e3) as u64, "lead_ms": (lead_s * 1e3) as u64,
                "rung": rung,
            });
            world.tell_front(*front, "POST", "/peaks", said.to_string()).await?;
        }
        FaultKind::CallOff { peak, front } => {
            world.tell_front(*front, "DELETE", &format!("/peaks/{peak}"), String::new()).await?;
        }
        // These change who comes; see `arrive`.
        FaultKind::Burst { .. } | FaultKind::TenantBurst { .. } | FaultKind::HotTitle { .. } => {
            sleep(lasts).await
        }
    }
    note(&world.recorder, "ends", number.to_string());
    Ok(())
}

async fn set(world: &World, nodes: &[u32], change: impl Fn(&mut pepperhook_playout::Faults)) {
    for n in nodes {
        world.fault(*n, &change).await;
    }
}

/// Lists nodes as they are to be; one that is down stays gone.
fn list(world: &World, nodes: &[u32], state: &'static str) {
    let mut all = world.nodes.borrow_mut();
    for n in nodes {
        let node = &mut all[*n as usize];
        if node.address.is_some() {
            node.listed = state;
        }
    }
}

/// Replaces the nodes batch by batch.
async fn deploy(world: &World, batch: u32, drain: Duration, lasts: Duration) -> Result<(), RunError> {
    let nodes: Vec<u32> = (0..world.day.fleet.nodes).collect();
    let batches: Vec<&[u32]> = nodes.chunks(batch as usize).collect();
    let each = lasts / u32::try_from(batches.len()).unwrap_or(1).max(1);
    for batch in batches {
        let begin = Instant::now();
        list(world, batch, "draining");
        sleep(drain).await;
        for n in batch {
            // A node that another trouble took down comes back by that.
            if world.nodes.borrow()[*n as usize].address.is_some() {
                world.kill_node(*n).await;
                world.start_node(*n, true).await?;
            }
        }
        sleep(each.saturating_sub(begin.elapsed())).await;
    }
    Ok(())
}
