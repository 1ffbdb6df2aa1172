/// \file
/// JSON form of workspace parameters and of the templates that expand to them.
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
/// Parses and validates; an unknown key is an error.
/// \returns the parameters, or the first failure with the path of its key.
result<workspace_parameters, settings_failure> parse_workspace(const boost::json::object& object);
/// Checks the constraints that the types do not express: unique class names, an existing default
/// class, well-formed names and key hashes.
/// \returns the first violation, or nothing if the parameters are valid.
std::optional<settings_failure> validate(const workspace_parameters& parameters);

/// Workspace fields shared by one kind of traffic; "$name" stands for a named parameter.
///
/// JSON form:
///     {"template": "dispatch",
///      "parameters": {"urgent_ms": 2000, "crews": null},
///      "body": {"default_class": "bulletin", "classes": [{"name": "bulletin", "tier": 0,
///               "first_token_ms": "$urgent_ms"}], "limits": {"concurrency": "$crews"}}}
/// The value of a parameter is its default; a parameter with the value null has none, and each
/// workspace must set it.
/// Ownership: a value.
struct traffic_template {
  std::string name;
  boost::json::object parameters;
  boost::json::object body;
};

/// \returns the stored form; `parse_template` reads it back.
boost::json::object to_json(const traffic_template& from);
/// Parses a template and checks that its body uses only declared parameters.
result<traffic_template, settings_failure> parse_template(const boost::json::object& object);

/// Expands a template with the settings of one workspace.
///
/// JSON form of `workspace`: `workspace`, `template`, optional `parameters`, and any other field of
/// the stored form except `revision` and `deleted`.  These fields override the template's: `limits`
/// member by member, `classes` matched by name and then member by member, all others whole.
/// \returns validated parameters at revision 0, or the failure for an unknown or missing parameter,
/// a reserved field, or a result that does not validate.
result<workspace_parameters, settings_failure> expand(const traffic_template& from,
                                                      const boost::json::object& workspace);

}  // namespace hawthornnotch

#endif  // HAWTHORNNOTCH_CONFIG_CODEC_H_
