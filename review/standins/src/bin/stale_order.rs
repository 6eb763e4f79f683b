//! The machine of the holder of the duties is cut off from the platform for 12 s while it orders engines.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use review_standins::cloud::Cloud;
use review_standins::fleet::{self, BOUNDS, Machine, Site};
use review_standins::http;
use review_standins::json::Json;
use review_standins::link::Link;
use review_standins::record::{Record, has_trouble};
use review_standins::store::Store;

const ZONES: [(&str, &str); 3] = [("addis-bole", "addis"), ("hawassa-lake", "hawassa"), ("addis-merkato", "addis")];
/// Length of the cut: `node_cut` with `for_s = 12.0` in the site file.
const CUT: Duration = Duration::from_secs(12);
/// `thawMs` of the site.
const THAW: Duration = Duration::from_millis(300);
/// `bootS` of the site.
const BOOT: Duration = Duration::from_secs(4);

fn config(version: u32, most: u32) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-1","hostname":"review.example","pathPrefix":"/question/","routeType":"streaming","timeoutMs":15000,"targetLatencyMs":500,"priority":0,"service":"advisor","maxAttempts":2,"public":false,"sticky":true,"streamResume":true,"gapAimMs":300}}],"services":[{{"name":"advisor","healthPath":"/healthz","maxConnections":360,"protocol":"h1","tls":false,"engine":{{"slots":64,"kvCapacity":631747}},"scaling":{{"min":1,"max":{most},"bootS":4.0,"spotPrice":0.15,"zonePrices":{{"addis-bole":1.0,"hawassa-lake":0.8,"addis-merkato":1.25}}}}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"almaz","apiKeys":["key-of-almaz"]}}]}}"#
    )
}

/// The cloud's engines: it starts those that are ordered after their boot time.
struct Engines {
    store: Store,
    address: SocketAddr,
    running: Mutex<HashMap<(String, bool), u32>>,
}

impl Engines {
    fn set(&self, zone: &str, spot: bool, desired: u32) {
        let mut running = self.running.lock().unwrap();
        let now = running.entry((zone.into(), spot)).or_default();
        let key = |number| format!("servers/i-{zone}-{spot}-{number}");
        for number in *now..desired {
            let entry = format!(
                r#"{{"service":"advisor","address":"{}","zone":"{zone}","version":"v1","slots":64,"state":"ready","coldRemainingMs":0,"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"spot":{spot},"seq":1,"born":1700000000000}}"#,
                self.address
            );
            self.store.put(&key(number), &entry);
        }
        for number in desired..*now {
            self.store.delete(&key(number));
        }
        *now = desired;
    }
}

fn main() {
    let record = Record::open();
    let store = Store::spawn(fleet::ip(1));
    let cloud = Cloud::spawn(fleet::ip(1));
    store.put("op/config", &config(7, 3));
    let listener = TcpListener::bind((fleet::ip(2), 0)).expect("a port for the engines");
    let address = listener.local_addr().expect("its address");
    http::serve(listener, |mut conn| while conn.read_request().is_ok_and(|req| req.is_some()) && conn.answer(200, "", b"").is_ok() {});
    let engines = Arc::new(Engines { store: store.clone(), address, running: Mutex::default() });
    for (zone, _) in ZONES {
        engines.set(zone, false, 1);
    }
    let mut machines: Vec<Machine> = Vec::new();
    let mut links: Vec<[Link; 2]> = Vec::new();
    for (number, (zone, region)) in ZONES.iter().enumerate() {
        let ip = fleet::ip(10 + number as u8);
        let [store_link, cloud_link] = [Link::spawn(ip, store.address), Link::spawn(ip, cloud.address)];
        let site = Site {
            store: store_link.address,
            cloud: cloud_link.address,
            regions: "addis-bole:addis,hawassa-lake:hawassa,addis-merkato:addis".into(),
            bounds: BOUNDS.into(),
        };
        let seeds: Vec<SocketAddr> = machines.iter().map(|m| m.control).collect();
        machines.push(Machine::new(number as u8, zone, region, &site, &seeds));
        links.push([store_link, cloud_link]);
    }
    machines.iter_mut().for_each(Machine::start);
    if !machines.iter().all(|m| m.wait_ready(Duration::from_secs(15))) {
        record.say("the gateways don't become ready");
        drop(machines);
        fleet::clean_up();
        std::process::exit(2);
    }
    record.say("gateways are ready");
    let start = Instant::now();
    let mut seen = 0;
    let mut highest: HashMap<String, (u64, String)> = HashMap::new();
    let mut booting: Vec<(Instant, String, bool, u32)> = Vec::new();
    let mut changed_at = None;
    let mut cut: Option<(String, Instant)> = None;
    let mut cut_due: Option<(Instant, String)> = None;
    let mut is_broken = false;
    while start.elapsed() < Duration::from_secs(40) {
        std::thread::sleep(Duration::from_millis(5));
        let now = Instant::now();
        if changed_at.is_none() && start.elapsed() > Duration::from_secs(12) {
            store.put("op/config", &config(9, 6));
            changed_at = Some(now);
            record.say("the operator raises the most engines of each zone from 3 to 6");
        }
        booting.retain(|(at, zone, spot, desired)| {
            if *at <= now {
                engines.set(zone, *spot, *desired);
            }
            *at > now
        });
        let calls: Vec<_> = cloud.calls.lock().unwrap()[seen..].to_vec();
        seen += calls.len();
        for call in calls {
            let body = Json::parse(call.body.as_bytes()).unwrap_or(Json::Null);
            let subject = match call.path.as_str() {
                "/scale" => format!("scale {} in {}", body.get("service").text(), body.get("zone").text()),
                _ => "usage".into(),
            };
            record.write(format!("the platform gets {} {} from {} with fence {}", call.path, call.body, call.holder, call.fence));
            let last = highest.entry(subject.clone()).or_default();
            if call.fence < last.0 {
                let healed = cut.as_ref().map(|(_, until)| call.at.saturating_duration_since(*until));
                let is_excused = healed.is_none_or(|after| after <= THAW);
                record.say(format!(
                    "STALE: {subject}: {} with fence {}, after {} with fence {}; {healed:.2?} after the link healed{}",
                    call.holder, call.fence, last.1, last.0, if is_excused { " (excused)" } else { "" }
                ));
                is_broken |= !is_excused;
            } else {
                *last = (call.fence, call.holder.clone());
            }
            if call.path == "/scale" {
                let spot = body.get("spot") == &Json::Bool(true);
                booting.push((call.at + BOOT, body.get("zone").text().into(), spot, body.get("desired").num() as u32));
                if has_trouble() && changed_at.is_some() && cut_due.is_none() {
                    cut_due = Some((now + Duration::from_millis(800), call.holder.clone()));
                }
            }
        }
        if let Some((due, holder)) = &cut_due
            && cut.is_none()
            && now >= *due
        {
            let at = machines.iter().position(|m| m.name == *holder).unwrap_or(0);
            links[at].iter().for_each(|link| link.cut(CUT));
            cut = Some((holder.clone(), now + CUT));
            record.say(format!("{holder}, the holder, is cut off from the store and the cloud for {CUT:?}"));
        }
    }
    for (subject, (fence, holder)) in &highest {
        record.say(format!("highest fence of {subject}: {fence} of {holder}"));
    }
    if highest.is_empty() || (has_trouble() && cut.is_none()) {
        record.say("no holder has acted");
        drop(machines);
        fleet::clean_up();
        std::process::exit(2);
    }
    drop(machines);
    fleet::clean_up();
    std::process::exit(i32::from(is_broken));
}
