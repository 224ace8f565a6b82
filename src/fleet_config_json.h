// Conversion of single entities of the fleet configuration from and to JSON,
// shared by the document parser and the edits.
#ifndef SRC_FLEET_CONFIG_JSON_H_
#define SRC_FLEET_CONFIG_JSON_H_

#include <string>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include "src/findings.h"
#include "src/fleet_config.h"

namespace burdockhatch {

// These fill the entity from `value`. An absent member keeps its default.
void ReadEntity(const boost::json::value& value,
                const std::string& path,
                ModelConfig* model,
                Findings* findings);
void ReadEntity(const boost::json::value& value,
                const std::string& path,
                ServiceConfig* service,
                Findings* findings);
void ReadEntity(const boost::json::value& value,
                const std::string& path,
                ClientAccountConfig* account,
                Findings* findings);
void ReadEntity(const boost::json::value& value,
                const std::string& path,
                TemplateConfig* it,
                Findings* findings);

// These write all members, defaults included: a later version of the program
// may have other defaults, which must not change a stored document.
boost::json::object EntityToJson(const ModelConfig& model);
boost::json::object EntityToJson(const ServiceConfig& service);
boost::json::object EntityToJson(const ClientAccountConfig& account);
boost::json::object EntityToJson(const TemplateConfig& it);

}  // namespace burdockhatch

#endif  // SRC_FLEET_CONFIG_JSON_H_
