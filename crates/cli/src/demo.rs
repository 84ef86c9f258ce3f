//! `demo`: a front, nine stand-in nodes in three racks and three buildings, and scripted viewers.

use crate::{Exit, signalled};
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

/// Settings of the demo's front; also an example of the form.
pub const SETTINGS: &str = include_str!("demo.conf");
const NODES: u32 = 9;
const TITLES: u32 = 18;

/// The demo's settings with its titles.
fn settings() -> String {
    let mut text = SETTINGS.to_owned();
    for t in 0..TITLES {
        text += &format!("section title title-{t}\nhome {}\ncopies 3\nclass replay\n", t * 4 % NODES);
    }
    text
}

/// Runs until a signal or for a time.
pub async fn demo(length: Option<Duration>, rate: f64, seed: u64) -> Exit {
    if !(0.1..=200.0).contains(&rate) {
        eprintln!("pepperhook: --rate is {rate}; 0.1 to 200 is allowed");
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
    let config = match Config::parse("demo.conf", &settings()) {
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
    println!("Nodes and viewers are stand-ins: all figures are simulated.");
    let fronts = vec![FrontEndpoint { name: "demo".into(), address: Some(front.address()) }];
    let crowd = ViewerSettings { titles: TITLES, copies: 3, ..ViewerSettings::default() };
    let audience = ViewerPool::new(crowd, "replay", fronts, Recorder::disabled());
    let viewers = spawn_local(arrive(audience, rate, seed));
    let troubled = stands.clone();
    let trouble = spawn_local(async move {
        // Every half a minute the uplink of one rack is weak for a while, so that there is something to see.
        for round in 0u32.. {
            sleep(Duration::from_secs(12)).await;
            let weak = |uplink| {
                troubled.iter().skip(round as usize % 3).step_by(3).for_each(|s| {
                    s.set_faults(Faults { uplink_left: uplink, ..Faults::default() });
                })
            };
            weak(0.4);
            sleep(Duration::from_secs(10)).await;
            weak(0.0);
        }
    });
    let begin = Instant::now();
    let status = async {
        loop {
            sleep(Duration::from_secs(1)).await;
            let s = front.snapshot();
            let class = s.classes.first();
            let aim = class.map_or(0.0, |c| c.within_aim as f64 / c.set_ups.max(1) as f64);
            println!(
                "{:4.0} s  asked {:5}  playing {:4}  refused {:4}  failed {:3}  within aim {:5.1} %  p99 {:6.1} ms  alerts {}",
                begin.elapsed().as_secs_f64(),
                s.asked,
                s.playing,
                s.answers.get("refused").copied().unwrap_or(0),
                s.answers.get("failed").copied().unwrap_or(0),
                100.0 * aim,
                class.map_or(0.0, |c| c.p99_ms),
                s.racks.iter().filter(|r| r.alerted).count(),
            );
        }
    };
    let until = async {
        match length {
            Some(length) => sleep(length).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        () = status => {}
        () = until => {}
        () = signalled() => {}
    }
    viewers.abort();
    trouble.abort();
    front.stop().await;
    Exit::Done
}

async fn arrive(audience: Rc<ViewerPool>, rate: f64, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    for n in 0u64.. {
        let gap = -(1.0 - rng.random::<f64>()).ln() / rate;
        sleep(Duration::from_secs_f64(gap)).await;
        let title = (rng.random::<f64>().powi(2) * f64::from(TITLES)) as u32;
        spawn_local(audience.clone().run_viewer(n, seed, title, None));
    }
}
