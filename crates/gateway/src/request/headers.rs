//! Removal of hop-by-hop headers.

use http::{HeaderMap, HeaderName, header};

/// Hop-by-hop headers of RFC 9110, section 7.6.1, and of earlier RFCs.
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// Removes the hop-by-hop headers, including those that the `Connection` header lists.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let mut named = Vec::new();
    for value in headers.get_all(header::CONNECTION) {
        let Ok(value) = value.to_str() else {
            continue;
        };
        for name in value.split(',') {
            if let Ok(name) = name.trim().parse::<HeaderName>() {
                named.push(name);
            }
        }
    }
    for name in named {
        // This may remove `Content-Length`, which is set again for every message.
        headers.remove(name);
    }
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}
