//! Compresses large objects for transfer between daemons, using a revision that the receiver has as
//! dictionary.

use std::collections;
use std::io;

use bytes::Bytes;
use model::map;
use pool::replica;

/// Minimum size of compressed objects, bytes; smaller ones gain nothing.
pub const MIN_COMPRESSED_BYTES: usize = 2_048;
/// Maximum size of a decompressed object, bytes; the store's own limit.
const MAX_DECOMPRESSED_BYTES: usize = 16 * 1024 * 1024;
/// Number of revisions kept per object as dictionaries for decompression.
const MAX_REVISIONS: usize = 4;
/// Compression level: the fastest one, as hosts have little processor time.
const COMPRESSION_LEVEL: i32 = 1;

/// Compresses content, using a base as dictionary if there is one.
///
/// ```
/// use sardinepaddle_gateway::compression::{compress, decompress};
/// let base = "a route; ".repeat(400);
/// let content = format!("{base}and another one");
/// let compressed = compress(content.as_bytes(), Some(base.as_bytes())).unwrap();
/// assert!(compressed.len() < 100);
/// assert_eq!(decompress(&compressed, Some(base.as_bytes())).unwrap(), content.as_bytes());
/// ```
pub fn compress(content: &[u8], base: Option<&[u8]>) -> io::Result<Vec<u8>> {
    let mut compressor = match base {
        Some(base) => zstd::bulk::Compressor::with_dictionary(COMPRESSION_LEVEL, base)?,
        None => zstd::bulk::Compressor::new(COMPRESSION_LEVEL)?,
    };
    compressor.compress(content)
}

/// Decompresses content; `base` is the dictionary that it was compressed with.
pub fn decompress(compressed: &[u8], base: Option<&[u8]>) -> io::Result<Vec<u8>> {
    let mut decompressor = match base {
        Some(base) => zstd::bulk::Decompressor::with_dictionary(base)?,
        None => zstd::bulk::Decompressor::new()?,
    };
    decompressor.decompress(compressed, MAX_DECOMPRESSED_BYTES)
}

/// Kind and name of an object.
type ObjectKey = (u8, String);

/// Latest revisions of large objects and their compressed forms.
#[derive(Debug, Default)]
pub(crate) struct RevisionHistory {
    contents: map::HashMap<ObjectKey, collections::VecDeque<(replica::ObjectStamp, Bytes)>>,
    /// Compressed forms by object, base revision (zero for none) and stamp.
    compressed: map::HashMap<(ObjectKey, u64, replica::ObjectStamp), Bytes>,
}

impl RevisionHistory {
    /// Records the content of an object if it is large.
    pub fn record(&mut self, object: &replica::ReplicaObject) {
        let Some(spec) = object
            .spec
            .as_ref()
            .filter(|spec| spec.len() >= MIN_COMPRESSED_BYTES)
        else {
            return;
        };
        let key = (object.kind, object.name.clone());
        let contents = self.contents.entry(key.clone()).or_default();
        if contents.iter().any(|(stamp, _)| *stamp == object.stamp()) {
            return;
        }
        contents.push_back((object.stamp(), spec.clone()));
        if contents.len() > MAX_REVISIONS {
            contents.pop_front();
        }
        self.compressed
            .retain(|(other, _, stamp), _| *other != key || *stamp == object.stamp());
    }

    /// Returns the content of an object at a revision.
    pub fn content(&self, kind: u8, name: &str, stamp: replica::ObjectStamp) -> Option<&Bytes> {
        let contents = self.contents.get(&(kind, name.to_owned()))?;
        let found = contents.iter().find(|(other, _)| *other == stamp);
        found.map(|(_, content)| content)
    }

    /// Returns the compressed form of an object for a daemon that has its change `base`, preceded by
    /// the revision used as dictionary, zero for none. A change of another era is not used.
    pub fn compress(
        &mut self,
        object: &replica::ReplicaObject,
        base: Option<replica::ObjectStamp>,
    ) -> io::Result<(u64, Bytes)> {
        let spec = object.spec.clone().unwrap_or_default();
        let base = base.filter(|base| base.era == object.era);
        let base = base.and_then(|base| {
            let content = self.content(object.kind, &object.name, base)?;
            Some((base.revision, content.clone()))
        });
        let base_revision = base.as_ref().map_or(0, |(revision, _)| *revision);
        let key = (object.kind, object.name.clone());
        let key = (key, base_revision, object.stamp());
        if let Some(compressed) = self.compressed.get(&key) {
            return Ok((base_revision, compressed.clone()));
        }
        let content = base.as_ref().map(|(_, content)| content.as_ref());
        let compressed = Bytes::from(compress(&spec, content)?);
        self.compressed.insert(key, compressed.clone());
        Ok((base_revision, compressed))
    }
}
