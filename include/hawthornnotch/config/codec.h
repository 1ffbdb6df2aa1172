/// \file
/// JSON form of workspace parameters, and templates that are expanded to them.
#ifndef HAWTHORNNOTCH_CONFIG_CODEC_H_
#define HAWTHORNNOTCH_CONFIG_CODEC_H_

#include <boost/json/object.hpp>
#include <optional>
#include <string>

#include "hawthornnotch/base/result.h"
#include "hawthornnotch/config/json_reader.h"
#include "hawthornnotch/config/model.h"

namespace hawthornnotch {

/// \returns the stored form; `parse_workspace` reads it back.
boost::json::object to_json(const workspace_parameters& parameters);
/// Reads and validates; every key is checked.
result<workspace_parameters, settings_failure> parse_workspace(const boost::json::object& object);
/// What the types don't say: unique class names, a default class that exists, well-formed names and
/// key hashes.  \returns the first violation.
std::optional<settings_failure> validate(const workspace_parameters& parameters);

/// One kind of traffic: the fields of a workspace, some of them left open as named parameters.
///
/// JSON form:
///     {"template": "dispatch",
///      "parameters": {"urgent_ms": 2000, "crews": null},
///      "body": {"default_class": "bulletin", "classes": [{"name": "bulletin", "tier": 0,
///               "first_token_ms": "$urgent_ms"}], "limits": {"concurrency": "$crews"}}}
/// A parameter with the value null must be given by each workspace; others have that default.
/// Ownership: a value.
struct traffic_template {
  std::string name;
  boost::json::object parameters;
  boost::json::object body;
};

boost::json::object to_json(const traffic_template& from);
result<traffic_template, settings_failure> parse_template(const boost::json::object& object);

/// Fills a template with what one workspace sets.
///
/// JSON form of `workspace`: `workspace`, `template`, optional `parameters`, and any field of the
/// stored form but `revision` and `deleted`, which replaces the template's; `limits` are replaced
/// member by member, `classes` are matched by name.
/// \returns validated parameters at revision 0.
result<workspace_parameters, settings_failure> expand(const traffic_template& from,
                                                      const boost::json::object& workspace);

}  // namespace hawthornnotch

#endif  // HAWTHORNNOTCH_CONFIG_CODEC_H_
