//! How shapes of files are described.

/// The shape of one value.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ValueShape {
    /// A name of something.
    Name,
    /// Any text that is not empty.
    Text,
    /// A path that starts with a slash.
    Path,
    /// An IP address and a port.
    Address,
    /// An IP address.
    Host,
    /// A network in CIDR notation.
    Network,
    /// True or false.
    Flag,
    /// A whole number, at least so much and at most so much.
    Whole(u64, u64),
    /// One of a few words.
    Choice(&'static [&'static str]),
    /// A method and a path prefix, in one text.
    Call,
    /// Any names, each with a value of one shape.
    Table(&'static ValueShape),
    /// Values of one shape.
    List(&'static ValueShape),
    /// Known names, each with its own shape.
    Record(&'static [FieldShape]),
    /// A record whose other fields depend on the word under `type`.
    Kinds(&'static [KindShape]),
}

/// One field of a record.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FieldShape {
    pub name: &'static str,
    pub need: FieldNeed,
    pub shape: ValueShape,
}

/// Whether a field must be there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FieldNeed {
    Required,
    Defaulted,
    /// May be absent or null.
    Nullable,
}

/// One kind of a record, by the word under `type`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KindShape {
    pub word: &'static str,
    pub fields: &'static [FieldShape],
}

/// A field that must be there.
pub(crate) const fn required(name: &'static str, shape: ValueShape) -> FieldShape {
    FieldShape {
        name,
        need: FieldNeed::Required,
        shape,
    }
}

/// A field that has a default.
pub(crate) const fn defaulted(name: &'static str, shape: ValueShape) -> FieldShape {
    FieldShape {
        name,
        need: FieldNeed::Defaulted,
        shape,
    }
}

/// A field that may be absent or null.
pub(crate) const fn nullable(name: &'static str, shape: ValueShape) -> FieldShape {
    FieldShape {
        name,
        need: FieldNeed::Nullable,
        shape,
    }
}
