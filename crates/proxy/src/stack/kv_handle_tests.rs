//! The call that frees a KV handle, byte for byte.

use super::request;
use crate::outbound::fixtures::{selection, state};

#[test]
fn request_that_frees_a_kv_handle() {
    let address = ([127, 0, 0, 1], 9).into();
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    let server = runtime.block_on(async { selection(&state(address), address) });
    let expected = "DELETE /kv-handle/k-1 HTTP/1.1\r\nHost: 127.0.0.1:9\r\nExpect-Instance: i-a\r\n\r\n";
    assert_eq!(String::from_utf8(request(&server, "k-1")).expect("text"), expected);
}
