#include "tamarack/config/Settings.h"

namespace tamarack {
namespace {

// Each description says what was expected where the value is wrong.
const char *const SchemaText = R"json({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "description": "an object with the settings of one process",
  "type": "object",
  "additionalProperties": {"not": {}},
  "required": ["instance", "role", "region", "data_centre", "host",
               "peer_port", "platform", "peer_key_file"],
  "properties": {
    "instance": {
      "description": "a name: letters, digits, '.', '_' and '-', at most 64",
      "type": "string", "pattern": "^[A-Za-z0-9._-]{1,64}$"
    },
    "role": {
      "description": "\"entry\" or \"endpoint\"",
      "enum": ["entry", "endpoint"]
    },
    "region": {
      "description": "a name: letters, digits, '.', '_' and '-', at most 64",
      "type": "string", "pattern": "^[A-Za-z0-9._-]{1,64}$"
    },
    "data_centre": {
      "description": "a name: letters, digits, '.', '_' and '-', at most 64",
      "type": "string", "pattern": "^[A-Za-z0-9._-]{1,64}$"
    },
    "host": {
      "description": "an IP number",
      "type": "string", "pattern": "^[0-9A-Fa-f.:]{2,45}$"
    },
    "peer_port": {
      "description": "a port from 1 to 65535",
      "type": "integer", "minimum": 1, "maximum": 65535
    },
    "caller_port": {
      "description": "a port from 1 to 65535",
      "type": "integer", "minimum": 1, "maximum": 65535
    },
    "operator_port": {
      "description": "a port from 1 to 65535",
      "type": "integer", "minimum": 1, "maximum": 65535
    },
    "platform": {
      "description": "an object with host and port",
      "type": "object",
      "additionalProperties": {"not": {}},
      "required": ["host", "port"],
      "properties": {
        "host": {
          "description": "an IP number",
          "type": "string", "pattern": "^[0-9A-Fa-f.:]{2,45}$"
        },
        "port": {
          "description": "a port from 1 to 65535",
          "type": "integer", "minimum": 1, "maximum": 65535
        }
      }
    },
    "data_folder": {
      "description": "the path of a folder; left out where there is no disk",
      "type": "string", "minLength": 1
    },
    "shard_count": {
      "description": "a whole number from 1 to 65536",
      "type": "integer", "minimum": 1, "maximum": 65536, "default": 64
    },
    "peer_key_file": {
      "description": "the path of a file",
      "type": "string", "minLength": 1
    },
    "operator_key_file": {
      "description": "the path of a file",
      "type": "string", "minLength": 1
    },
    "caller_keys_file": {
      "description": "the path of a file",
      "type": "string", "minLength": 1
    },
    "endpoint": {
      "description": "an object that describes the endpoint",
      "type": "object",
      "additionalProperties": {"not": {}},
      "required": ["name", "kind", "at", "serves", "checks_fence",
                   "max_batch"],
      "properties": {
        "name": {
          "description":
            "a name: letters, digits, '.', '_' and '-', at most 64",
          "type": "string", "pattern": "^[A-Za-z0-9._-]{1,64}$"
        },
        "kind": {
          "description": "\"engine\" or \"service\"",
          "enum": ["engine", "service"]
        },
        "at": {
          "description": "an object with host and port",
          "type": "object",
          "additionalProperties": {"not": {}},
          "required": ["host", "port"],
          "properties": {
            "host": {
              "description": "an IP number",
              "type": "string", "pattern": "^[0-9A-Fa-f.:]{2,45}$"
            },
            "port": {
              "description": "a port from 1 to 65535",
              "type": "integer", "minimum": 1, "maximum": 65535
            }
          }
        },
        "serves": {
          "description":
            "an array of at least one model or service name, none twice",
          "type": "array", "minItems": 1, "uniqueItems": true,
          "items": {
            "description": "a name of 1 to 128 characters",
            "type": "string", "minLength": 1, "maxLength": 128
          }
        },
        "checks_fence": { "description": "true or false", "type": "boolean" },
        "repeatable": { "description": "true or false", "type": "boolean" },
        "max_batch": {
          "description": "a whole number from 1 to 100000",
          "type": "integer", "minimum": 1, "maximum": 100000
        },
        "memory_tokens": {
          "description": "a whole number from 1 to 1000000000000",
          "type": "integer", "minimum": 1, "maximum": 1000000000000
        }
      }
    },
    "stop_limit_ms": {
      "description": "milliseconds from 0 to 3600000",
      "type": "integer", "minimum": 0, "maximum": 3600000,
      "default": 120000
    },
    "heartbeat_every_ms": {
      "description": "milliseconds from 10 to 60000",
      "type": "integer", "minimum": 10, "maximum": 60000, "default": 1000
    },
    "silence_limit_ms": {
      "description": "milliseconds from 20 to 600000",
      "type": "integer", "minimum": 20, "maximum": 600000, "default": 3000
    },
    "suspect_after_ms": {
      "description": "milliseconds from 20 to 600000",
      "type": "integer", "minimum": 20, "maximum": 600000, "default": 5000
    },
    "platform_timeout_ms": {
      "description": "milliseconds from 1 to 60000",
      "type": "integer", "minimum": 1, "maximum": 60000, "default": 1000
    },
    "log_format": {
      "description": "\"text\" or \"json\"",
      "enum": ["text", "json"], "default": "text"
    },
    "log_level": {
      "description": "\"debug\", \"info\", \"warn\" or \"error\"",
      "enum": ["debug", "info", "warn", "error"], "default": "info"
    }
  }
})json";

} // namespace

const Json &settingsSchema() {
  static const Json Schema = Json::parse(SchemaText);
  return Schema;
}

} // namespace tamarack
