//! The shapes of the files that sardinepaddle reads.

use crate::shape::{FieldShape, KindShape, ValueShape, defaulted, nullable, required};

const U32: u64 = u32::MAX as u64;
const COUNT: ValueShape = ValueShape::Whole(1, U32);
const LARGE_COUNT: ValueShape = ValueShape::Whole(1, i64::MAX as u64);
const PORT: ValueShape = ValueShape::Whole(1, u16::MAX as u64);
const METHODS: &[&str] = &["DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"];
const STATE: ValueShape = ValueShape::Choice(&["in_service", "taken_out"]);
const LEVELS: &[&str] = &["off", "error", "warn", "info", "debug", "trace"];

/// The configuration.
pub(crate) const CONFIG: &[FieldShape] = &[
    required(
        "data_centres",
        ValueShape::Table(&ValueShape::Record(CENTRE)),
    ),
    required(
        "customers",
        ValueShape::Table(&ValueShape::Record(CUSTOMER)),
    ),
    required("services", ValueShape::Table(&ValueShape::Record(SERVICE))),
    required(
        "endpoints",
        ValueShape::Table(&ValueShape::Record(ENDPOINT)),
    ),
    defaulted("policy", ValueShape::Record(POLICY)),
];

const CENTRE: &[FieldShape] = &[
    required("region", ValueShape::Name),
    defaulted("state", STATE),
];

const CUSTOMER: &[FieldShape] = &[
    defaulted("weight", COUNT),
    defaulted("max_in_flight", COUNT),
];

const SERVICE: &[FieldShape] = &[
    required("kind", ValueShape::Kinds(SERVICE_KINDS)),
    defaulted("timeout_ms", LARGE_COUNT),
    defaulted(
        "non_idempotent",
        ValueShape::List(&ValueShape::Record(CALL_RULE)),
    ),
];

const SERVICE_KINDS: &[KindShape] = &[
    KindShape {
        word: "model",
        fields: &[
            required("model", ValueShape::Text),
            defaulted("bytes_per_token", COUNT),
        ],
    },
    KindShape {
        word: "plain",
        fields: &[required("path_prefix", ValueShape::Path)],
    },
];

const CALL_RULE: &[FieldShape] = &[
    required("method", ValueShape::Choice(METHODS)),
    required("path", ValueShape::Path),
];

const ENDPOINT: &[FieldShape] = &[
    required("service", ValueShape::Name),
    required("data_centre", ValueShape::Name),
    required("address", ValueShape::Address),
    defaulted("state", STATE),
    defaulted("slots", COUNT),
    defaulted("memory_tokens", LARGE_COUNT),
    defaulted("cold_slots", COUNT),
    defaulted("checks_orders", ValueShape::Flag),
];

const POLICY: &[FieldShape] = &[defaulted(
    "placement",
    ValueShape::Choice(&["round_robin", "least_loaded", "size_aware"]),
)];

/// Settings of a daemon.
pub(crate) const DAEMON: &[FieldShape] = &[
    required("host", ValueShape::Name),
    required("data_centre", ValueShape::Name),
    required("listen", ValueShape::Record(LISTEN)),
    required("platform", ValueShape::Record(PLATFORM)),
    defaulted("limits", ValueShape::Record(LIMITS)),
    defaulted("networks", ValueShape::Record(NETWORKS)),
    defaulted("log", ValueShape::Record(LOG)),
    nullable("seed", ValueShape::Whole(0, u64::MAX)),
];

const LISTEN: &[FieldShape] = &[
    required("callers", ValueShape::Address),
    required("peers", ValueShape::Address),
    nullable("advertised_peers", ValueShape::Address),
    required("admin", ValueShape::Address),
];

const PLATFORM: &[FieldShape] = &[
    required("object_api", ValueShape::Address),
    required("host_list", ValueShape::Address),
];

const NETWORKS: &[FieldShape] = &[
    defaulted("peers", ValueShape::List(&ValueShape::Network)),
    defaulted("admin", ValueShape::List(&ValueShape::Network)),
];

const LIMITS: &[FieldShape] = &[
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

const LOG: &[FieldShape] = &[defaulted("level", ValueShape::Choice(LEVELS))];

/// Settings of the operators' command.
pub(crate) const OPERATOR: &[FieldShape] = &[
    nullable("object_api", ValueShape::Address),
    nullable("host_list", ValueShape::Address),
    nullable("who", ValueShape::Text),
];

/// Answers to the questionnaire.
pub(crate) const ANSWERS: &[FieldShape] = &[
    required("region", ValueShape::Name),
    required(
        "data_centres",
        ValueShape::List(&ValueShape::Record(ANSWER_CENTRE)),
    ),
    required(
        "customers",
        ValueShape::List(&ValueShape::Record(ANSWER_CUSTOMER)),
    ),
    required(
        "services",
        ValueShape::List(&ValueShape::Record(ANSWER_SERVICE)),
    ),
];

const ANSWER_CENTRE: &[FieldShape] = &[
    required("name", ValueShape::Name),
    required("first_address", ValueShape::Host),
];

const ANSWER_CUSTOMER: &[FieldShape] = &[
    required("name", ValueShape::Name),
    defaulted("size", ValueShape::Choice(&["usual", "large"])),
];

const ANSWER_SERVICE: &[FieldShape] = &[
    required("name", ValueShape::Name),
    required("kind", ValueShape::Kinds(SERVICE_KINDS)),
    required("runners", COUNT),
    required("port", PORT),
    nullable("timeout_ms", LARGE_COUNT),
    defaulted("non_idempotent", ValueShape::List(&ValueShape::Call)),
];

/// Whether a word is a method of HTTP.
pub(crate) fn is_method(word: &str) -> bool {
    METHODS.contains(&word)
}
