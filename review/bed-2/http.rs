//! Reading and writing of HTTP/1.1 messages.

use std::{
    io::{self, BufRead, BufReader, Read},
    net::TcpStream,
};

/// The start line and the headers of a message, with names in lower case.
pub struct Head {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(other, _)| other == name);
        found.next().map(|(_, value)| value.as_str())
    }

    /// The word of the start line with this index.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }
}

pub fn invalid(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_owned())
}

/// Reads a head; `None` if the connection ends before one.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut start = String::new();
    if reader.read_line(&mut start)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(invalid("the head breaks off"));
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    Ok(Some(Head {
        start: start.trim_end().to_owned(),
        headers,
    }))
}

/// Reads the next chunk of a chunked body; `None` after the last one.
pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(invalid("the chunked body breaks off"));
    }
    let size = line.trim_end().split(';').next().unwrap_or_default();
    let size = usize::from_str_radix(size, 16).map_err(|_| invalid("not a chunk"))?;
    let mut data = vec![0; size + 2];
    reader.read_exact(&mut data)?;
    data.truncate(size);
    Ok((size > 0).then_some(data))
}

/// Reads a body with a length or in chunks; one without either is empty.
pub fn read_body(reader: &mut BufReader<TcpStream>, head: &Head) -> io::Result<Vec<u8>> {
    if head.get("transfer-encoding").is_some() {
        let mut body = Vec::new();
        while let Some(chunk) = read_chunk(reader)? {
            body.extend(chunk);
        }
        return Ok(body);
    }
    let length = head.get("content-length").unwrap_or("0");
    let mut body = vec![0; length.parse().map_err(|_| invalid("not a length"))?];
    reader.read_exact(&mut body)?;
    Ok(body)
}
