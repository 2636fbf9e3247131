//! Regression test: a backend server that other routers keep busy must not be preferred.
//!
//! Once a router samples only the backend servers with the fewest of its own requests, one that it
//! avoids for its load always has the fewest, and would be sampled every time.

use mallowpath::{Backend, LoadReport, RouteRequest, RouteSettings, RouteTable};

#[test]
fn a_backend_that_other_routers_keep_busy_is_avoided() {
    let mut table = RouteTable::new("z0".parse().expect("a name"), RouteSettings::default());
    for number in 0..20 {
        let name = format!("b{number:02}");
        let id = name.parse().expect("a name");
        let host = name.parse().expect("a name");
        table.insert(Backend::new(id, host, "z0".parse().expect("a name")));
    }
    let busy = "b07".parse().expect("a name");
    let request = RouteRequest {
        prefix_hashes: &[],
        adapter: None,
        prompt_tokens: 100,
        cap_tokens: 100,
        priority: 1,
        exclude: &[],
    };
    let mut chosen_busy = 0;
    let mut running = Vec::new();
    for now_ms in (0..200_000).step_by(100) {
        if now_ms % 1_000 == 0 {
            let last = LoadReport {
                running: 60,
                waiting: 0,
                kv_used_tokens: 0,
                kv_total_tokens: 0,
                at_ms: now_ms,
            };
            table.get_mut(&busy).expect("listed").apply_report(last);
        }
        let id = table
            .choose(&request, now_ms, now_ms)
            .expect("a backend")
            .backend
            .id
            .clone();
        chosen_busy += u32::from(id == busy);
        table
            .get_mut(&id)
            .expect("listed")
            .record_submission(&[], now_ms);
        running.push((id, now_ms));
        if running.len() > 30 {
            let (id, submitted_at_ms) = running.remove(0);
            table
                .get_mut(&id)
                .expect("listed")
                .record_end(submitted_at_ms, now_ms);
        }
    }
    println!("chose the busy backend server {chosen_busy} of 2000 times");
    assert!(
        chosen_busy < 20,
        "{chosen_busy} of 2000, an even share is 100"
    );
}
