use teaselchute::core::gateway::mac::Key;

fn key(byte: u8) -> Key {
    Key::new([byte; 32])
}

#[test]
fn mac_of_other_parts() {
    let mac = key(1).mac(&[b"/v1/free", b"body"]);
    assert_eq!(mac, key(1).mac(&[b"/v1/free", b"body"]));
    assert_ne!(mac, key(2).mac(&[b"/v1/free", b"body"]));
    assert_ne!(mac, key(1).mac(&[b"/v1/fre", b"ebody"]));
    assert_ne!(mac, key(1).mac(&[b"/v1/freebody"]));
}

#[test]
fn verify_datagram_other_key() {
    let mut datagram = b"placements".to_vec();
    key(1).sign_datagram(&mut datagram);
    assert_eq!(key(1).verify_datagram(&datagram), Some(&b"placements"[..]));
    assert_eq!(key(2).verify_datagram(&datagram), None);
    datagram[0] ^= 1;
    assert_eq!(
        key(1).verify_datagram(&datagram),
        None,
        "modified in transit"
    );
    assert_eq!(key(1).verify_datagram(b"short"), None);
}

#[test]
fn debug_hides_key() {
    assert_eq!(format!("{:?}", key(7)), "Key");
}
