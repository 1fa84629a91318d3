//! Types that describe the schema of a file.

/// Schema of a value.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ValueSchema {
    /// A name: visible ASCII without a slash.
    Name,
    /// Any text that is not empty.
    Text,
    /// A path that starts with a slash.
    Path,
    /// An IP address with a port.
    SocketAddress,
    /// An IP address.
    IpAddress,
    /// A network in CIDR notation.
    Network,
    /// `true` or `false`.
    Boolean,
    /// An integer between a minimum and a maximum, both inclusive.
    Integer(u64, u64),
    /// One of the listed strings.
    Choice(&'static [&'static str]),
    /// An HTTP method and a path prefix, separated by a space.
    CallPattern,
    /// A mapping from arbitrary names to values of one schema.
    Map(&'static ValueSchema),
    /// A list of values of one schema.
    List(&'static ValueSchema),
    /// A mapping with a fixed set of fields.
    Record(&'static [FieldSchema]),
    /// A record whose further fields depend on the value of its field `type`.
    Tagged(&'static [VariantSchema]),
}

/// Schema of a field of a record.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FieldSchema {
    pub name: &'static str,
    pub presence: FieldPresence,
    pub schema: ValueSchema,
}

/// Whether a field may be absent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FieldPresence {
    Required,
    Defaulted,
    /// May be absent or null.
    Nullable,
}

/// Fields of a tagged record for one value of `type`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct VariantSchema {
    pub tag: &'static str,
    pub fields: &'static [FieldSchema],
}

/// Describes a field that must be present.
pub(crate) const fn required(name: &'static str, schema: ValueSchema) -> FieldSchema {
    FieldSchema {
        name,
        presence: FieldPresence::Required,
        schema,
    }
}

/// Describes a field that has a default and may be absent.
pub(crate) const fn defaulted(name: &'static str, schema: ValueSchema) -> FieldSchema {
    FieldSchema {
        name,
        presence: FieldPresence::Defaulted,
        schema,
    }
}

/// Describes a field that may be absent or null.
pub(crate) const fn nullable(name: &'static str, schema: ValueSchema) -> FieldSchema {
    FieldSchema {
        name,
        presence: FieldPresence::Nullable,
        schema,
    }
}
