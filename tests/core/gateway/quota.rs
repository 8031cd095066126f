use teaselchute::{
    core::gateway::quota::Group,
    names::Name, //
};

fn hosts(count: usize) -> Vec<Name> {
    (0..count).map(|i| format!("host-{i}").into()).collect()
}

fn shares(hosts: &[Name], total: u64, server: &str) -> Vec<u64> {
    let share = |own| Group::new(own, hosts.iter()).share(total, server);
    hosts.iter().map(share).collect()
}

#[test]
fn share_sums_to_total() {
    for count in [1, 2, 7, 9, 73, 300] {
        let hosts = hosts(count);
        for total in [0, 1, 25, 27, 195] {
            for server in ["i-1", "i-2"] {
                let sum: u64 = shares(&hosts, total, server).iter().sum();
                assert_eq!(sum, total, "{count} hosts");
            }
        }
    }
}

#[test]
fn share_spread_over_servers() {
    // 73 hosts share 60 servers with 25 units each, which are about 20 units for each host.
    let hosts = hosts(73);
    let mut units = vec![0; hosts.len()];
    for server in 0..60 {
        let shares = shares(&hosts, 25, &format!("i-{server}"));
        for (servers, share) in units.iter_mut().zip(shares) {
            *servers += share;
        }
    }
    let min_units = units.iter().min().copied();
    assert!(min_units >= Some(10), "{units:?}");
}

#[test]
fn share_not_larger_with_more_hosts() {
    // A host that just started counts dead hosts too, which must not increase its share.
    let few = hosts(40);
    let many = hosts(73);
    for server in ["i-1", "i-2", "i-3", "i-4"] {
        for own in &few {
            let narrow = Group::new(own, few.iter()).share(25, server);
            let wide = Group::new(own, many.iter()).share(25, server);
            assert!(wide <= narrow);
        }
    }
}
