// The JSON form of single entities of the fleet configuration, shared by the
// document parser and the edits.
#ifndef SRC_FLEET_CONFIG_JSON_H_
#define SRC_FLEET_CONFIG_JSON_H_

#include <string>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include "src/findings.h"
#include "src/fleet_config.h"

namespace burdockhatch {

// Each fills the entity from `value`; a member that is absent keeps its
// default.
void ReadEntity(const boost::json::value& value,
                const std::string& place,
                ModelConfig* model,
                Findings* findings);
void ReadEntity(const boost::json::value& value,
                const std::string& place,
                ServiceConfig* service,
                Findings* findings);
void ReadEntity(const boost::json::value& value,
                const std::string& place,
                ClientAccountConfig* account,
                Findings* findings);
void ReadEntity(const boost::json::value& value,
                const std::string& place,
                TemplateConfig* it,
                Findings* findings);

// All members, defaults included: a later version of the program may have other
// defaults, which must not change a stored document.
boost::json::object EntityToJson(const ModelConfig& model);
boost::json::object EntityToJson(const ServiceConfig& service);
boost::json::object EntityToJson(const ClientAccountConfig& account);
boost::json::object EntityToJson(const TemplateConfig& it);

}  // namespace burdockhatch

#endif  // SRC_FLEET_CONFIG_JSON_H_
