//! Serialisation of enumerations by name, for configuration files.

macro_rules! named {
    ($module:ident, $type:ty) => {
        /// Serialises the enumeration by its name in lower case.
        pub mod $module {
            use serde::Deserialize;
            use serde::Deserializer;
            use serde::Serializer;
            use serde::de::Error;

            /// Writes the name of a value.
            ///
            /// # Errors
            ///
            /// Fails where the serializer does.
            pub fn serialize<S: Serializer>(value: &i32, serializer: S) -> Result<S::Ok, S::Error> {
                let named = <$type>::try_from(*value).unwrap_or_default();
                serializer.serialize_str(&named.as_str_name().to_ascii_lowercase())
            }

            /// Reads a value from its name.
            ///
            /// # Errors
            ///
            /// Fails on a name that the enumeration does not have.
            pub fn deserialize<'de, D: Deserializer<'de>>(
                deserializer: D,
            ) -> Result<i32, D::Error> {
                let name = String::deserialize(deserializer)?;
                let value = <$type>::from_str_name(&name.to_ascii_uppercase());
                value
                    .map(i32::from)
                    .ok_or_else(|| D::Error::custom(format!("unknown name {name:?}")))
            }
        }
    };
}

named!(priority, crate::settings::Priority);
named!(endpoint_kind, crate::settings::EndpointKind);
named!(log_outage_policy, crate::settings::LogOutagePolicy);
