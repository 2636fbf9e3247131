//! Rendezvous hashing: shares by weight, stable ownership and evenly distributed subsets.

use mallowpath::{Candidate, HostLocation, SubsetSettings, pick, pick_n, rendezvous_key, subset};

const ROUTERS: usize = 370;
const SIDECARS: usize = 1_400;
const MODELS: usize = 7;
const ZONES: usize = 12;
const ZONES_PER_REGION: usize = 3;

fn location(kind: &str, number: usize) -> HostLocation {
    let zone = number % ZONES;
    let text = |text: String| text.parse().expect("a valid name");
    HostLocation {
        host: format!("{kind}-{number}").parse().expect("a valid name"),
        zone: format!("z{zone}").parse().expect("a valid name"),
        region: text(format!("r{}", zone / ZONES_PER_REGION)),
    }
}

fn locations(kind: &str, count: usize) -> Vec<HostLocation> {
    (0..count).map(|number| location(kind, number)).collect()
}

/// Returns the sidecars of one model: blocks of twelve, so that each model is in every zone.
fn sidecars_of_model(model: usize) -> Vec<HostLocation> {
    let mut sidecars = locations("sidecar", SIDECARS);
    let mut number = 0;
    sidecars.retain(|_| {
        number += 1;
        (number - 1) / ZONES % MODELS == model
    });
    sidecars
}

#[test]
fn keys_are_shared_in_proportion_to_the_weights() {
    let weights = [1.0, 2.0, 0.0, 5.0];
    let names = ["a", "b", "c", "d"];
    let candidates: Vec<_> = (0..4)
        .map(|i| Candidate {
            name: names[i],
            weight: weights[i],
        })
        .collect();
    let mut keys_won = [0_u32; 4];
    for key in 0..80_000 {
        keys_won[pick(rendezvous_key(&format!("k{key}")), &candidates).expect("a candidate")] += 1;
    }
    for (count, weight) in keys_won.iter().zip(weights) {
        let expected = weight * 10_000.0;
        assert!(
            (f64::from(*count) - expected).abs() <= expected * 0.05,
            "{keys_won:?}"
        );
    }
    assert_eq!(pick(1, &candidates[2..3]), None);
}

#[test]
fn a_removed_candidate_moves_only_its_own_keys() {
    let names: Vec<_> = (0..30).map(|i| format!("host-{i}")).collect();
    let all: Vec<_> = names
        .iter()
        .map(|name| Candidate { name, weight: 1.0 })
        .collect();
    for key in 0..2_000 {
        let ranked = pick_n(key, &all, 30);
        assert_eq!(pick(key, &all), Some(ranked[0]));
        assert_eq!(
            pick(key, &all[..29]),
            ranked.into_iter().find(|&index| index != 29)
        );
    }
}

#[test]
fn routers_are_spread_evenly_over_sidecars_at_full_fleet_size() {
    let settings = SubsetSettings::default();
    for model in 0..MODELS {
        let sidecars = sidecars_of_model(model);
        let mut routers_of = vec![0_u32; sidecars.len()];
        for router in locations("router", ROUTERS) {
            let chosen = subset(&router, &sidecars, &settings);
            assert_eq!(chosen.len(), settings.size);
            for index in chosen {
                routers_of[index] += 1;
            }
        }
        let mean = (ROUTERS * settings.size) as f64 / sidecars.len() as f64;
        let min = f64::from(*routers_of.iter().min().expect("sidecars"));
        let max = f64::from(*routers_of.iter().max().expect("sidecars"));
        println!(
            "model {model}: {} sidecars, mean {mean:.1}, {min}..{max}",
            sidecars.len()
        );
        // Five standard deviations of a binomial distribution, whatever the size of a region.
        assert!(
            min >= 0.7 * mean && max <= 1.3 * mean,
            "{min}..{max} around {mean}"
        );
    }
}

#[test]
fn own_zone_comes_first_and_other_regions_only_as_fallback() {
    let sidecars = sidecars_of_model(0);
    let settings = SubsetSettings {
        size: 16,
        other_zones_min: 4,
    };
    for router in locations("router", 24) {
        let chosen = subset(&router, &sidecars, &settings);
        let in_own_zone: Vec<_> = chosen
            .iter()
            .map(|&i| sidecars[i].zone == router.zone)
            .collect();
        assert_eq!(in_own_zone, [vec![true; 12], vec![false; 4]].concat());
        assert!(chosen.iter().all(|&i| sidecars[i].region == router.region));
        let other_regions: Vec<_> = sidecars
            .iter()
            .filter(|s| s.region != router.region)
            .cloned()
            .collect();
        assert_eq!(subset(&router, &other_regions, &settings).len(), 16);
    }
}

#[test]
fn a_removed_sidecar_replaces_one_connection() {
    let sidecars = sidecars_of_model(3);
    let settings = SubsetSettings::default();
    for router in locations("router", 60) {
        let before = subset(&router, &sidecars, &settings);
        let removed = before[7];
        let mut fewer = sidecars.clone();
        fewer.remove(removed);
        let after = subset(&router, &fewer, &settings);
        let kept = before
            .iter()
            .filter(|&&i| after.iter().any(|&j| fewer[j].host == sidecars[i].host))
            .count();
        assert_eq!(kept, settings.size - 1);
    }
}
