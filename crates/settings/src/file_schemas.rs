//! Schemas of the files that sardinepaddle reads.

use crate::schema::{FieldSchema, ValueSchema, VariantSchema, defaulted, nullable, required};

const U32_MAX: u64 = u32::MAX as u64;
const COUNT: ValueSchema = ValueSchema::Integer(1, U32_MAX);
const LARGE_COUNT: ValueSchema = ValueSchema::Integer(1, i64::MAX as u64);
const PORT: ValueSchema = ValueSchema::Integer(1, u16::MAX as u64);
const METHODS: &[&str] = &["DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"];
const STATE: ValueSchema = ValueSchema::Choice(&["in_service", "taken_out"]);
const LOG_LEVELS: &[&str] = &["off", "error", "warn", "info", "debug", "trace"];

/// Schema of the configuration.
pub(crate) const CONFIG: &[FieldSchema] = &[
    required(
        "data_centres",
        ValueSchema::Map(&ValueSchema::Record(CENTRE)),
    ),
    required(
        "customers",
        ValueSchema::Map(&ValueSchema::Record(CUSTOMER)),
    ),
    required("services", ValueSchema::Map(&ValueSchema::Record(SERVICE))),
    required(
        "endpoints",
        ValueSchema::Map(&ValueSchema::Record(ENDPOINT)),
    ),
    defaulted("policy", ValueSchema::Record(POLICY)),
];

const CENTRE: &[FieldSchema] = &[
    required("region", ValueSchema::Name),
    defaulted("state", STATE),
];

const CUSTOMER: &[FieldSchema] = &[
    defaulted("weight", COUNT),
    defaulted("max_in_flight", COUNT),
];

const SERVICE: &[FieldSchema] = &[
    required("kind", ValueSchema::Tagged(SERVICE_KINDS)),
    defaulted("timeout_ms", LARGE_COUNT),
    defaulted(
        "non_idempotent",
        ValueSchema::List(&ValueSchema::Record(CALL_PATTERN)),
    ),
];

const SERVICE_KINDS: &[VariantSchema] = &[
    VariantSchema {
        tag: "model",
        fields: &[
            required("model", ValueSchema::Text),
            defaulted("bytes_per_token", COUNT),
        ],
    },
    VariantSchema {
        tag: "plain",
        fields: &[required("path_prefix", ValueSchema::Path)],
    },
];

const CALL_PATTERN: &[FieldSchema] = &[
    required("method", ValueSchema::Choice(METHODS)),
    required("path", ValueSchema::Path),
];

const ENDPOINT: &[FieldSchema] = &[
    required("service", ValueSchema::Name),
    required("data_centre", ValueSchema::Name),
    required("address", ValueSchema::SocketAddress),
    defaulted("state", STATE),
    defaulted("slots", COUNT),
    defaulted("memory_tokens", LARGE_COUNT),
    defaulted("cold_slots", COUNT),
    defaulted("checks_orders", ValueSchema::Boolean),
];

const POLICY: &[FieldSchema] = &[defaulted(
    "placement",
    ValueSchema::Choice(&["round_robin", "least_loaded", "size_aware"]),
)];

/// Schema of the settings of a daemon.
pub(crate) const DAEMON: &[FieldSchema] = &[
    required("host", ValueSchema::Name),
    required("data_centre", ValueSchema::Name),
    required("listen", ValueSchema::Record(LISTEN)),
    required("platform", ValueSchema::Record(PLATFORM)),
    defaulted("limits", ValueSchema::Record(LIMITS)),
    defaulted("networks", ValueSchema::Record(NETWORKS)),
    defaulted("log", ValueSchema::Record(LOG)),
    nullable("seed", ValueSchema::Integer(0, u64::MAX)),
];

const LISTEN: &[FieldSchema] = &[
    required("callers", ValueSchema::SocketAddress),
    required("peers", ValueSchema::SocketAddress),
    nullable("advertised_peers", ValueSchema::SocketAddress),
    required("admin", ValueSchema::SocketAddress),
];

const PLATFORM: &[FieldSchema] = &[
    required("object_api", ValueSchema::SocketAddress),
    required("host_list", ValueSchema::SocketAddress),
];

const NETWORKS: &[FieldSchema] = &[
    defaulted("peers", ValueSchema::List(&ValueSchema::Network)),
    defaulted("admin", ValueSchema::List(&ValueSchema::Network)),
];

const LIMITS: &[FieldSchema] = &[
    defaulted("body_bytes", LARGE_COUNT),
    defaulted("header_bytes", LARGE_COUNT),
    defaulted("body_pool_bytes", LARGE_COUNT),
    defaulted("header_read_ms", LARGE_COUNT),
    defaulted("body_read_ms", LARGE_COUNT),
    defaulted("connections", LARGE_COUNT),
    defaulted("connections_per_host", LARGE_COUNT),
    defaulted("in_flight", LARGE_COUNT),
    defaulted("max_tokens", LARGE_COUNT),
    defaulted("timeout_ms", LARGE_COUNT),
];

const LOG: &[FieldSchema] = &[defaulted("level", ValueSchema::Choice(LOG_LEVELS))];

/// Schema of the settings of the `sardinepaddle` command.
pub(crate) const OPERATOR: &[FieldSchema] = &[
    nullable("object_api", ValueSchema::SocketAddress),
    nullable("host_list", ValueSchema::SocketAddress),
    nullable("who", ValueSchema::Text),
];

/// Schema of the answers to the questionnaire.
pub(crate) const ANSWERS: &[FieldSchema] = &[
    required("region", ValueSchema::Name),
    required(
        "data_centres",
        ValueSchema::List(&ValueSchema::Record(ANSWER_CENTRE)),
    ),
    required(
        "customers",
        ValueSchema::List(&ValueSchema::Record(ANSWER_CUSTOMER)),
    ),
    required(
        "services",
        ValueSchema::List(&ValueSchema::Record(ANSWER_SERVICE)),
    ),
];

const ANSWER_CENTRE: &[FieldSchema] = &[
    required("name", ValueSchema::Name),
    required("first_address", ValueSchema::IpAddress),
];

const ANSWER_CUSTOMER: &[FieldSchema] = &[
    required("name", ValueSchema::Name),
    defaulted("size", ValueSchema::Choice(&["usual", "large"])),
];

const ANSWER_SERVICE: &[FieldSchema] = &[
    required("name", ValueSchema::Name),
    required("kind", ValueSchema::Tagged(SERVICE_KINDS)),
    required("runners", COUNT),
    required("port", PORT),
    nullable("timeout_ms", LARGE_COUNT),
    defaulted(
        "non_idempotent",
        ValueSchema::List(&ValueSchema::CallPattern),
    ),
];

/// Returns whether `text` is a supported HTTP method.
pub(crate) fn is_method(text: &str) -> bool {
    METHODS.contains(&text)
}
