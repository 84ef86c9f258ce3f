//! The `demo` command: a front, nine simulated nodes in three racks and three buildings, and scripted viewers.

use crate::{Exit, shutdown_signal};
use pepperhook_front::Front;
use pepperhook_playout::record::Recorder;
use pepperhook_playout::{Faults, Options, start};
use pepperhook_rehearse::day::ViewerSettings;
use pepperhook_rehearse::viewers::{FrontEndpoint, ViewerPool};
use pepperhook_settings::Config;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// Settings of the demo's front without its titles; also an example of a settings file.
pub const SETTINGS: &str = include_str!("demo.conf");
const NODES: u32 = 9;
const TITLES: u32 = 18;

/// The settings of the demo's front, with its titles.
fn settings_with_titles() -> String {
    let mut text = SETTINGS.to_owned();
    for title in 0..TITLES {
        text += &format!("section title title-{title}\nhome {}\ncopies 3\nclass replay\n", title * 4 % NODES);
    }
    text
}

/// Runs the demo for `length`, or until SIGTERM or SIGINT; `rate` is in viewers per second.
pub async fn demo(length: Option<Duration>, rate: f64, seed: u64) -> Exit {
    if !(0.1..=200.0).contains(&rate) {
        eprintln!("pepperhook: --rate is {rate}; it must be 0.1 to 200 viewers per second");
        return Exit::Usage;
    }
    let node = |i: u32| Options {
        name: format!("node-{i}"),
        rack: i % 3,
        uplink_kb: 26_000.0,
        seed: u64::from(i),
        ..Options::default()
    };
    let stands = match start((0..NODES).map(node).collect(), &Recorder::disabled()).await {
        Ok(stands) => Rc::new(stands),
        Err(e) => {
            eprintln!("pepperhook: {e}");
            return Exit::Failed;
        }
    };
    let config = match Config::parse("demo.conf", &settings_with_titles()) {
        Ok(config) => config,
        Err(e) => {
            eprint!("{e}");
            return Exit::Usage;
        }
    };
    let mut list = "name,address,zone,cell,kind,weight,state\n".to_owned();
    for (i, s) in stands.iter().enumerate() {
        let zone = ["gedung-a", "gedung-b", "gedung-c"][i % 3];
        list += &format!("{},{},{zone},{i},std,1,ready\n", s.name, s.address);
    }
    let nodes = match pepperhook_inventory::parse(list.as_bytes(), &config.names) {
        Ok(nodes) => nodes,
        Err(faults) => {
            faults.iter().for_each(|f| eprintln!("{f}"));
            return Exit::Usage;
        }
    };
    let front = match Front::start(config, seed, nodes, None).await {
        Ok(front) => front,
        Err(e) => {
            eprintln!("pepperhook: {e}");
            return Exit::Failed;
        }
    };
    println!("console   {}", front.console_url());
    println!("viewers   http://{}/whep/title-0", front.address());
    println!("Nodes and viewers are simulated, and so are all figures.");
    let fronts = vec![FrontEndpoint { name: "demo".into(), address: Some(front.address()) }];
    let crowd = ViewerSettings { titles: TITLES, copies: 3, ..ViewerSettings::default() };
    let audience = ViewerPool::new(crowd, "replay", fronts, Recorder::disabled());
    let viewers = spawn_local(run_arrivals(audience, rate, seed));
    let weakened = stands.clone();
    let uplink_faults = spawn_local(async move {
        // Every 22 s the uplink of the next rack is weakened for 10 s, which makes the console show a fault.
        for round in 0u32.. {
            sleep(Duration::from_secs(12)).await;
            let set_uplink_fault = |uplink| {
                weakened.iter().skip(round as usize % 3).step_by(3).for_each(|s| {
                    s.set_faults(Faults { uplink_left: uplink, ..Faults::default() });
                })
            };
            set_uplink_fault(0.4);
            sleep(Duration::from_secs(10)).await;
            set_uplink_fault(0.0);
        }
    });
    let started_at = Instant::now();
    let status = async {
        loop {
            sleep(Duration::from_secs(1)).await;
            let snapshot = front.snapshot();
            let class = snapshot.classes.first();
            let within_aim_share = class.map_or(0.0, |c| c.within_aim as f64 / c.set_ups.max(1) as f64);
            println!(
                "{:4.0} s  asked {:5}  playing {:4}  refused {:4}  failed {:3}  within aim {:5.1} %  p99 {:6.1} ms  alerts {}",
                started_at.elapsed().as_secs_f64(),
                snapshot.requests,
                snapshot.playing,
                snapshot.answers.get("refused").copied().unwrap_or(0),
                snapshot.answers.get("failed").copied().unwrap_or(0),
                100.0 * within_aim_share,
                class.map_or(0.0, |c| c.p99_ms),
                snapshot.racks.iter().filter(|r| r.alerted).count(),
            );
        }
    };
    let time_limit = async {
        match length {
            Some(length) => sleep(length).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        () = status => {}
        () = time_limit => {}
        () = shutdown_signal() => {}
    }
    viewers.abort();
    uplink_faults.abort();
    front.stop().await;
    Exit::Done
}

/// Starts viewers with exponentially distributed gaps, `rate` per second on average.
async fn run_arrivals(audience: Rc<ViewerPool>, rate: f64, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    for viewer in 0u64.. {
        let gap_s = -(1.0 - rng.random::<f64>()).ln() / rate;
        sleep(Duration::from_secs_f64(gap_s)).await;
        let title = (rng.random::<f64>().powi(2) * f64::from(TITLES)) as u32;
        spawn_local(audience.clone().run_viewer(viewer, seed, title, None));
    }
}
