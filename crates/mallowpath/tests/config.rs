//! Typed configuration: defaults, look-ups and the report on an invalid folder.

use expect_test::expect;
use mallowpath::{BearerHash, FleetConfig, IniDocument, Tokens, WhenUnconfirmed, parse_tokens};

const WORKSPACES: &str = "
[workspace panels]
key_sha256 = 2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b
budget = panels-2026
services = notices, layouts
home_region = dk-east
when_unconfirmed = refuse
[budget panels-2026]
workspace = panels
tokens = 2M
[service notices]
adapters = formal
[service layouts]
kind = plain
tokens_per_call = 5
[backend dk-1]
service = notices
";

fn check(files: &[(&str, &str)]) -> Result<FleetConfig, String> {
    let mut document = IniDocument::default();
    for (file, text) in files {
        document.merge_text(file, text);
    }
    FleetConfig::from_document(&document)
        .map(|(fleet, _)| fleet)
        .map_err(|report| report.to_string())
}

#[test]
fn a_bearer_key_identifies_its_workspace() {
    let fleet = check(&[("a.ini", WORKSPACES)]).expect("valid configuration");
    let workspace = fleet
        .workspace_by_key(BearerHash::of("secret"))
        .expect("known key");
    assert_eq!(workspace.id.as_str(), "panels");
    assert_eq!(workspace.when_unconfirmed, WhenUnconfirmed::Refuse);
    assert_eq!(fleet.budgets[&workspace.budget].tokens, Tokens(2_000_000));
    assert!(fleet.workspace_by_key(BearerHash::of("other")).is_none());
}

#[test]
fn a_model_is_found_alone_or_with_a_known_adapter() {
    let fleet = check(&[("a.ini", WORKSPACES)]).expect("valid configuration");
    assert_eq!(
        fleet
            .find_model_service("notices:formal")
            .expect("known adapter")
            .1,
        Some("formal")
    );
    assert!(fleet.find_model_service("notices").is_some());
    assert!(fleet.find_model_service("notices:rude").is_none());
    assert!(fleet.find_model_service("layouts").is_none());
}

#[test]
fn only_models_are_repeatable_by_default() {
    let fleet = check(&[("a.ini", WORKSPACES)]).expect("valid configuration");
    let repeatable = |name: &str| fleet.services[&name.parse().expect("a name")].repeatable;
    assert!(repeatable("notices"));
    assert!(!repeatable("layouts"));
}

#[test]
fn parse_tokens_accepts_only_separators_and_suffixes() {
    for (text, tokens) in [
        ("1_000_000", 1_000_000),
        ("5k", 5_000),
        ("2M", 2_000_000),
        ("0", 0),
    ] {
        assert_eq!(parse_tokens(text), Some(Tokens(tokens)), "{text}");
    }
    for text in [
        "",
        "k",
        "-1",
        "+1",
        "1.5k",
        "1_",
        "_1",
        "5K",
        "99999999999999999999",
        "9é",
    ] {
        assert_eq!(parse_tokens(text), None, "{text}");
    }
}

#[test]
fn one_report_lists_all_issues_of_a_folder() {
    let invalid = "
[workspace panels]
budget = panel-2026
priority = 10
wieght = 3
key_sha256 = secret
[workspace fees]
budget = panels-2026
services = notice
[servise layouts]
[service a:b]
max_output_tokens = 100
default_output_tokens = 200
tokens_per_call = 1
[budget]
[backend dk-1]
state = gone
[fleet x]
leave_within_ms = 9s
";
    let report =
        check(&[("10.ini", WORKSPACES), ("20.ini", invalid)]).expect_err("invalid configuration");
    expect![[r#"
        20.ini:3: [workspace panels] budget = "panel-2026": expected the name of a [budget ...] section; did you mean "panels-2026"?
        20.ini:4: [workspace panels] priority = "10": expected a whole number from 0 to 9, such as 1_000, 5k or 2M
        20.ini:5: [workspace panels] wieght = "3": expected one of the keys key_sha256, budget, services, home_region, weight, max_running, priority, max_output_tokens, when_unconfirmed; did you mean "weight"?
        20.ini:6: [workspace panels] key_sha256 = "(hidden)": expected SHA-256 hashes of 64 hexadecimal digits, separated by commas
        20.ini:7: [workspace fees] home_region is missing: expected a name of letters, digits and - _ . / :
        20.ini:8: [workspace fees] budget = "panels-2026": expected a budget of this workspace; it is one of panels
        20.ini:9: [workspace fees] services = "notice": expected the name of a [service ...] section; did you mean "notices"?
        20.ini:10: [servise layouts] "servise": expected a section of kind backend, budget, fleet, service, workspace; did you mean "service"?
        20.ini:11: [service a:b] is wrong: expected a service name without :, which sets off an adapter
        20.ini:13: [service a:b] default_output_tokens = "200": expected a whole number from 1 to 100, such as 1_000, 5k or 2M
        20.ini:14: [service a:b] tokens_per_call = "1": expected the key only where kind = plain
        20.ini:15: [budget] is wrong: expected a name behind the kind of section: a name of letters, digits and - _ . / :
        20.ini:15: [budget] tokens is missing: expected the number of tokens paid for, such as 1_000, 5k or 2M
        20.ini:15: [budget] workspace is missing: expected the name of a workspace
        20.ini:17: [backend dk-1] state = "gone": expected active or leaving or excluded
        20.ini:18: [fleet x] is wrong: expected the section [fleet], without a name
        20.ini:19: [fleet x] leave_within_ms = "9s": expected a whole number from 0 to 5000, such as 1_000, 5k or 2M"#]].assert_eq(&report);
}

#[test]
fn the_page_names_every_key_of_each_section() {
    let page = include_str!("../../../docs/CONFIGURATION.md");
    let mut kinds = 0;
    for part in page.split("\n## `[").skip(1) {
        let kind = part.split([' ', ']']).next().expect("a kind of section");
        let rows = part
            .lines()
            .filter_map(|line| line.strip_prefix("| `")?.split('`').next());
        assert_eq!(
            rows.collect::<Vec<_>>(),
            FleetConfig::allowed_keys(kind),
            "{kind}"
        );
        kinds += 1;
    }
    assert_eq!(kinds, 5);
}
