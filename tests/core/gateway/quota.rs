use teaselchute::{
    core::gateway::quota::Group,
    names::Name, //
};

fn hosts(count: usize) -> Vec<Name> {
    (0..count).map(|i| format!("host-{i}").into()).collect()
}

fn parts(hosts: &[Name], total: u64, server: &str) -> Vec<u64> {
    let part = |own| Group::new(own, hosts.iter()).share(total, server);
    hosts.iter().map(part).collect()
}

#[test]
fn part_adds_up_to_the_whole() {
    for count in [1, 2, 7, 9, 73, 300] {
        let hosts = hosts(count);
        for total in [0, 1, 25, 27, 195] {
            for server in ["i-1", "i-2"] {
                let sum: u64 = parts(&hosts, total, server).iter().sum();
                assert_eq!(sum, total, "{count} hosts");
            }
        }
    }
}

#[test]
fn part_of_many_hosts_differs_from_server_to_server() {
    // 73 hosts share 60 servers of 25 requests a second each: every host has about 20 of them.
    let hosts = hosts(73);
    let mut servers_of = vec![0; hosts.len()];
    for server in 0..60 {
        let parts = parts(&hosts, 25, &format!("i-{server}"));
        for (servers, part) in servers_of.iter_mut().zip(parts) {
            *servers += part;
        }
    }
    let least = servers_of.iter().min().copied();
    assert!(least >= Some(10), "{servers_of:?}");
}

#[test]
fn part_of_one_that_knows_more_hosts_is_no_larger() {
    // A host that just started counts all that were ever there, so it takes no more than it may.
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
