//! Tests of process settings: defaults, the report of an invalid file and the operators' page.

use expect_test::expect;
use mallowpath::{
    IniDocument, PeerTiming, RouterSettings, RouterTuning, SidecarSettings, SidecarTuning,
};

const HOST_KEYS: &str = "name = r1\nzone = dk-a\nregion = dk\npeer_listen = 127.0.0.1:7001
admin_listen = 127.0.0.1:7002\nlog_service = 127.0.0.1:9001\nhost_list = 127.0.0.1:9002\n";

fn document(section: &str, text: &str) -> IniDocument {
    let mut document = IniDocument::default();
    document.merge_text("p.ini", &format!("[{section}]\n{HOST_KEYS}{text}"));
    document
}

#[test]
fn missing_keys_take_their_defaults() {
    let document = document("router", "callers_listen = 127.0.0.1:7000\nslice_ms = 1k");
    let settings = RouterSettings::from_document(&document).expect("valid settings");
    assert_eq!(settings.host.zone.as_str(), "dk-a");
    assert_eq!(settings.timing, PeerTiming::default());
    assert_eq!(
        settings.tuning,
        RouterTuning {
            slice_ms: 1_000,
            ..RouterTuning::default()
        }
    );
}

#[test]
fn sidecar_settings_name_the_backend_server() {
    let text = "backend = e1\nbackend_address = 127.0.0.1:8000\nservice = notices";
    let settings =
        SidecarSettings::from_document(&document("sidecar", text)).expect("valid settings");
    assert_eq!(settings.backend.as_str(), "e1");
    assert_eq!(settings.tuning, SidecarTuning::default());
}

#[test]
fn every_issue_of_an_invalid_file_is_reported_at_once() {
    let text = "callers_listen = 127.0.0.1:7001\nheartbeat_ms = 5000\nslice_ms = 0
hedaer_timeout_ms = 5\n[sidecar]\n";
    let report =
        RouterSettings::from_document(&document("router", text)).expect_err("invalid settings");
    expect![[r#"
        p.ini:5: [router] peer_listen = "127.0.0.1:7001": expected an address other than that of callers_listen
        p.ini:10: [router] heartbeat_ms = "5000": expected at most half of peer_timeout_ms, which is 3000
        p.ini:11: [router] slice_ms = "0": expected a whole number from 1 to 3600000, such as 1_000, 5k or 2M
        p.ini:12: [router] hedaer_timeout_ms = "5": expected one of the keys name, zone, region, peer_listen, admin_listen, log_service, host_list, memory_mb, descriptors_max, callers_listen, heartbeat_ms, peer_timeout_ms, connect_timeout_ms, platform_timeout_ms, platform_wait_ms, lost_router_ms, header_timeout_ms, body_timeout_ms, bill_batch_ms, slice_ms, sidecars_per_service, max_waiting, drain_notice_ms, load_timeout_ms, key_keep_ms, key_takeover_ms, keys_without_witness; did you mean "header_timeout_ms"?
        p.ini:13: [sidecar] "sidecar": expected the section [router]"#]].assert_eq(&report.to_string());
}

#[test]
fn missing_keys_and_sections_are_reported() {
    let mut document = IniDocument::default();
    document.merge_text("p.ini", "[router]\ncallers_listen = localhost:80");
    let report = RouterSettings::from_document(&document).expect_err("incomplete");
    expect![[r#"
        p.ini:1: [router] admin_listen is missing: expected an IP address and port, such as 10.0.0.1:8080
        p.ini:1: [router] host_list is missing: expected an IP address and port, such as 10.0.0.1:8080
        p.ini:1: [router] log_service is missing: expected an IP address and port, such as 10.0.0.1:8080
        p.ini:1: [router] name is missing: expected a name of letters, digits and - _ . / :
        p.ini:1: [router] peer_listen is missing: expected an IP address and port, such as 10.0.0.1:8080
        p.ini:1: [router] region is missing: expected a name of letters, digits and - _ . / :
        p.ini:1: [router] zone is missing: expected a name of letters, digits and - _ . / :
        p.ini:2: [router] callers_listen = "localhost:80": expected an IP address and port, such as 10.0.0.1:8080"#]].assert_eq(&report.to_string());
    let report = SidecarSettings::from_document(&IniDocument::default()).expect_err("empty");
    expect!["[sidecar] is wrong: expected this section"].assert_eq(&report.to_string());
}

#[test]
fn the_settings_page_lists_exactly_the_known_keys() {
    let page = include_str!("../../../docs/SETTINGS.md");
    let mut known = RouterSettings::keys();
    known.extend(SidecarSettings::keys());
    for key in &known {
        assert!(
            page.contains(&format!("\n| `{key}` |")),
            "{key} is not on the page"
        );
    }
    for line in page.lines() {
        let Some(key) = line
            .strip_prefix("| `")
            .and_then(|rest| rest.split('`').next())
        else {
            continue;
        };
        assert!(
            known.contains(&key),
            "the page names {key}, which is no key"
        );
    }
}

#[test]
fn sidecar_bounds_let_a_leaving_backend_server_stop_within_five_seconds() {
    let text = "backend = e1\nbackend_address = 127.0.0.1:8000\nservice = notices\n";
    let check = |more: &str| {
        let document = document("sidecar", &format!("{text}{more}"));
        match SidecarSettings::from_document(&document) {
            Ok(settings) => format!("{} ms", settings.tuning.unconfirmed_after_ms),
            Err(report) => report.to_string(),
        }
    };
    expect!["4000 ms"].assert_eq(&check(""));
    expect!["4500 ms"].assert_eq(&check("unconfirmed_after_ms = 4500"));
    expect![[r#"p.ini:12: [sidecar] unconfirmed_after_ms = "4501": expected 3000 to 4500: at least 1000 and twice heartbeat_ms, and within the 5000 in which a leaving backend server stops taking work"#]].assert_eq(&check("unconfirmed_after_ms = 4501"));
    expect![[r#"p.ini:12: [sidecar] unconfirmed_after_ms = "2999": expected 3000 to 4500: at least 1000 and twice heartbeat_ms, and within the 5000 in which a leaving backend server stops taking work"#]].assert_eq(&check("unconfirmed_after_ms = 2999"));
    expect![[r#"p.ini:12: [sidecar] heartbeat_ms = "1501": expected at most 1500 in a sidecar"#]]
        .assert_eq(&check("heartbeat_ms = 1501\npeer_timeout_ms = 5000"));
}
