//! Memory of this process, as the operating system tells it.

/// Bytes of one page of memory.
const PAGE_BYTES: u64 = 4_096;

/// Returns the resident memory of this process, in bytes.
pub fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages.and_then(|it| it.parse::<u64>().ok()).unwrap_or(0) * PAGE_BYTES
}
